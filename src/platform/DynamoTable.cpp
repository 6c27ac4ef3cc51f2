#include "daisyspool/platform/DynamoTable.h"

#include "daisyspool/platform/Base64.h"
#include "platform/PlatformClient.h"

#include <boost/crc.hpp>
#include <nlohmann/json.hpp>

#include <cassert>
#include <charconv>
#include <set>

namespace daisyspool {

namespace {

using Json = nlohmann::json;

constexpr const char *ContentType = "application/x-amz-json-1.0";
/// DynamoDB's limit on the length of a client request token.
constexpr std::size_t MaxTokenBytes = 36;

[[noreturn]] void throwProtocolError(const std::string &Detail) {
  throw PlatformProtocolError("table service: " + Detail);
}

Json toJson(const RowKey &Key) {
  return {{"Partition", {{"S", Key.Partition}}}, {"Sort", {{"S", Key.Sort}}}};
}

Json number(std::uint64_t Value) { return {{"N", std::to_string(Value)}}; }

/// Returns member \p Name of \p From as text. Throws if its DynamoDB type is
/// not \p Type.
std::string attribute(const Json &From, const char *Name, const char *Type) {
  const Json &Typed = From.at(Name);
  if (!Typed.is_object() || Typed.size() != 1)
    throwProtocolError("malformed attribute");

  return Typed.at(Type).get<std::string>();
}

RowKey parseKey(const Json &From) {
  return {attribute(From, "Partition", "S"), attribute(From, "Sort", "S")};
}

Row parseRow(const Json &Item) {
  Row Result{parseKey(Item), 0, {}};
  std::string Version = attribute(Item, "Version", "N");
  const char *End = Version.data() + Version.size();
  auto [Stop, Failure] = std::from_chars(Version.data(), End, Result.Version);
  auto Value = fromBase64(attribute(Item, "Value", "B"));
  if (Failure != std::errc{} || Stop != End || !Value)
    throwProtocolError("malformed row");

  Result.Value = std::move(*Value);
  return Result;
}

/// Adds the condition expression of \p Require to \p Operation.
void setCondition(Json &Operation, const Condition &Require) {
  if (std::holds_alternative<MustNotExist>(Require)) {
    Operation["ConditionExpression"] = "attribute_not_exists(#p)";
    Operation["ExpressionAttributeNames"] = {{"#p", "Partition"}};
  } else if (auto *Exact = std::get_if<MustHaveVersion>(&Require)) {
    Operation["ConditionExpression"] = "#v = :v";
    Operation["ExpressionAttributeNames"] = {{"#v", "Version"}};
    Operation["ExpressionAttributeValues"] = {{":v", number(Exact->Version)}};
  }
}

Json toJson(const std::string &Table, const PutRow &Put) {
  Json Operation{{"TableName", Table}, {"Item", toJson(Put.Key)}};
  Operation["Item"]["Version"] = number(Put.NewVersion);
  Operation["Item"]["Value"] = {{"B", toBase64(Put.Value)}};
  setCondition(Operation, Put.Require);

  return {{"Put", Operation}};
}

Json toJson(const std::string &Table, const DeleteRow &Delete) {
  Json Operation{{"TableName", Table}, {"Key", toJson(Delete.Key)}};
  setCondition(Operation, Delete.Require);

  return {{"Delete", Operation}};
}

Json toJson(const std::string &Table, const CheckRow &Check) {
  assert(!std::holds_alternative<Unconditional>(Check.Require));
  Json Operation{{"TableName", Table}, {"Key", toJson(Check.Key)}};
  setCondition(Operation, Check.Require);

  return {{"ConditionCheck", Operation}};
}

/// Returns the error name without the namespace that precedes it on the wire.
std::string errorName(const Json &Document) {
  std::string Type = Document.value("__type", "");
  return Type.substr(Type.rfind('#') + 1);
}

/// Throws the exception for a cancelled transaction. DynamoDB lists one reason
/// per write.
[[noreturn]] void throwCancelled(const Json &Document) {
  std::set<std::string> Codes;
  for (const Json &Reason : Document.at("CancellationReasons"))
    Codes.insert(Reason.at("Code").get<std::string>());

  if (Codes.count("ConditionalCheckFailed") != 0)
    throw ConditionFailed("table service: condition failed");
  for (const char *Code : {"TransactionConflict", "ThrottlingError",
                           "ProvisionedThroughputExceeded"})
    if (Codes.count(Code) != 0)
      throw PlatformThrottled(std::string("table service: ") + Code);

  throwProtocolError("transaction cancelled without a known reason");
}

[[noreturn]] void throwFailure(int Status, const Json &Document) {
  std::string Name = errorName(Document);
  std::string Detail = std::to_string(Status) + ' ' + Name;
  if (Status >= 500 || Name == "TransactionInProgressException")
    throw PlatformUnavailable("table service: " + Detail);
  if (Status == 400 && Name == "TransactionCanceledException")
    throwCancelled(Document);
  for (const char *Code : {"ProvisionedThroughputExceededException",
                           "ThrottlingException", "RequestLimitExceeded"})
    if (Name == Code)
      throw PlatformThrottled("table service: " + Detail);

  throwProtocolError(Detail);
}

/// Compares the body with the CRC-32 that DynamoDB sends in a header.
void verifyChecksum(const http::Response &Answer) {
  auto Sent = http::findHeader(Answer.Headers, "x-amz-crc32");
  if (!Sent)
    return;

  boost::crc_32_type Sum;
  Sum.process_bytes(Answer.Body.data(), Answer.Body.size());
  if (*Sent != std::to_string(Sum.checksum()))
    throwProtocolError("wrong checksum");
}

Json parseAnswer(const http::Response &Answer) {
  // An error page of a proxy is an outage, not an answer of DynamoDB.
  if (Answer.Status >= 500)
    throwFailure(Answer.Status, Json::object());
  if (http::findHeader(Answer.Headers, "Content-Type") != ContentType)
    throwProtocolError("wrong content type");

  verifyChecksum(Answer);
  Json Document = Json::parse(Answer.Body);
  if (!Document.is_object())
    throwProtocolError("answer is not an object");
  if (Answer.Status != 200)
    throwFailure(Answer.Status, Document);
  return Document;
}

} // namespace

class DynamoTable::Impl {
public:
  Impl(Options Config, const Clock &Time)
      : Client(Config.Server, Config.Key, Config.Region, "dynamodb",
               Config.Timeout, Time),
        Table(std::move(Config.Table)) {}

  /// Sends one call and returns what \p Parse makes of the answer. JSON errors
  /// become a PlatformProtocolError.
  template <typename Function>
  auto call(const char *Operation, const Json &Arguments, Function Parse) {
    try {
      return Parse(parseAnswer(Client.exchange(
          {"POST",
           "/",
           {{"Content-Type", ContentType},
            {"X-Amz-Target", std::string("DynamoDB_20120810.") + Operation}},
           Arguments.dump()})));
    } catch (const Json::exception &Failure) {
      throwProtocolError(Failure.what());
    }
  }

  const std::string &table() const { return Table; }

private:
  PlatformClient Client;
  std::string Table;
};

DynamoTable::DynamoTable(Options Config, const Clock &Time)
    : State(std::make_unique<Impl>(std::move(Config), Time)) {}

DynamoTable::~DynamoTable() = default;

std::optional<Row> DynamoTable::read(const RowKey &Key) {
  Json Arguments{{"TableName", State->table()},
                 {"Key", toJson(Key)},
                 {"ConsistentRead", true}};
  return State->call(
      "GetItem", Arguments, [&](const Json &Answer) -> std::optional<Row> {
        // Only an empty object means that the row does not exist; any other
        // answer without an item is an error.
        if (Answer.empty())
          return std::nullopt;

        Row Result = parseRow(Answer.at("Item"));
        if (Result.Key != Key)
          throwProtocolError("another row than the one asked for");
        return Result;
      });
}

std::vector<Row> DynamoTable::query(const std::string &Partition,
                                    const std::string &FromSort,
                                    std::size_t Limit) {
  assert(Limit != 0);
  Json Arguments{{"TableName", State->table()},
                 {"ConsistentRead", true},
                 {"KeyConditionExpression", "#p = :p"},
                 {"ExpressionAttributeNames", {{"#p", "Partition"}}},
                 {"ExpressionAttributeValues", {{":p", {{"S", Partition}}}}}};
  if (!FromSort.empty()) {
    Arguments["KeyConditionExpression"] = "#p = :p AND #s >= :s";
    Arguments["ExpressionAttributeNames"]["#s"] = "Sort";
    Arguments["ExpressionAttributeValues"][":s"] = {{"S", FromSort}};
  }

  std::vector<Row> Result;
  bool More = true;
  // One call returns at most a megabyte and the key to continue from.
  while (More && Result.size() < Limit) {
    Arguments["Limit"] = Limit - Result.size();
    More = State->call("Query", Arguments, [&](const Json &Answer) {
      for (const Json &Item : Answer.at("Items")) {
        Row Next = parseRow(Item);
        const std::string &After =
            Result.empty() ? FromSort : Result.back().Key.Sort;
        bool IsInOrder =
            Result.empty() ? Next.Key.Sort >= After : Next.Key.Sort > After;
        if (Next.Key.Partition != Partition || !IsInOrder ||
            Result.size() == Limit)
          throwProtocolError("row outside the query");
        Result.push_back(std::move(Next));
      }

      if (!Answer.contains("LastEvaluatedKey"))
        return false;
      const Json &Last = Answer.at("LastEvaluatedKey");
      if (Answer.at("Items").empty() || parseKey(Last) != Result.back().Key)
        throwProtocolError("query continues at another row");
      Arguments["ExclusiveStartKey"] = Last;
      return true;
    });
  }

  return Result;
}

void DynamoTable::commit(const Transaction &Writes) {
  assert(!Writes.Token.empty());
  assert(!Writes.Writes.empty() && Writes.Writes.size() <= MaxWrites);
  // A longer token is replaced by its digest, which is as good as unique.
  std::string Token = Writes.Token.size() <= MaxTokenBytes
                          ? Writes.Token
                          : sha256Hex(Writes.Token).substr(0, MaxTokenBytes);
  Json Items = Json::array();
  for (const Write &Each : Writes.Writes)
    Items.push_back(std::visit(
        [this](const auto &Typed) { return toJson(State->table(), Typed); },
        Each));

  Json Arguments{{"TransactItems", std::move(Items)},
                 {"ClientRequestToken", std::move(Token)}};
  State->call("TransactWriteItems", Arguments, [](const Json &Answer) {
    if (!Answer.empty())
      throwProtocolError("unexpected answer to a transaction");
    return true;
  });
}

} // namespace daisyspool
