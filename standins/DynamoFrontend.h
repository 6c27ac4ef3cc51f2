#ifndef DAISYSPOOL_STANDINS_DYNAMOFRONTEND_H
#define DAISYSPOOL_STANDINS_DYNAMOFRONTEND_H

#include "MemoryTable.h"
#include "daisyspool/http/Types.h"
#include "daisyspool/platform/Base64.h"

#include <boost/crc.hpp>
#include <nlohmann/json.hpp>

#include <string>

namespace daisyspool {

/// The part of DynamoDB's JSON API that DynamoTable uses, over a MemoryTable.
///
/// Expressions other than those of DynamoTable are refused as invalid. Thread
/// safety: one thread at a time.
class DynamoFrontend {
public:
  using Json = nlohmann::json;

  static http::Response makeResponse(int Status, const std::string &Body) {
    boost::crc_32_type Sum;
    Sum.process_bytes(Body.data(), Body.size());
    return {Status,
            {{"Content-Type", "application/x-amz-json-1.0"},
             {"x-amz-crc32", std::to_string(Sum.checksum())}},
            Body};
  }

  static http::Response errorResponse(const std::string &Name,
                                      const std::string &Detail,
                                      int Status = 400) {
    Json Document{{"__type", "com.amazonaws.dynamodb.v20120810#" + Name},
                  {"message", Detail}};
    return makeResponse(Status, Document.dump());
  }

  static std::string operation(const http::Request &Received) {
    std::string Target =
        http::findHeader(Received.Headers, "X-Amz-Target").value_or("");
    return Target.substr(Target.rfind('.') + 1);
  }

  http::Response handle(const http::Request &Received, TimePoint Now) {
    std::string Operation = operation(Received);
    try {
      Json Arguments = Json::parse(Received.Body);
      if (Operation == "GetItem")
        return getItem(Arguments);
      if (Operation == "Query")
        return query(Arguments);
      if (Operation == "TransactWriteItems")
        return transact(Arguments, Now);
      return errorResponse("UnknownOperationException", Operation);
    } catch (const Json::exception &Failure) {
      return errorResponse("ValidationException", Failure.what());
    } catch (const PlatformProtocolError &Failure) {
      return errorResponse("ValidationException", Failure.what());
    }
  }

  const MemoryTable &table() const { return Table; }

private:
  /// Size limit of one page, small so that clients have to request more pages.
  static constexpr std::size_t PageBytes = 1024 * 1024;

  static Json toJson(const RowKey &Key) {
    return {{"Partition", {{"S", Key.Partition}}}, {"Sort", {{"S", Key.Sort}}}};
  }

  static Json toJson(const Row &From) {
    Json Item = toJson(From.Key);
    Item["Version"] = {{"N", std::to_string(From.Version)}};
    Item["Value"] = {{"B", toBase64(From.Value)}};
    return Item;
  }

  static RowKey parseKey(const Json &From) {
    return {From.at("Partition").at("S"), From.at("Sort").at("S")};
  }

  static std::uint64_t parseNumber(const Json &From) {
    return std::stoull(From.at("N").get<std::string>());
  }

  static Condition parseCondition(const Json &From) {
    std::string Text = From.value("ConditionExpression", "");
    if (Text.empty())
      return Unconditional{};
    const Json &Names = From.at("ExpressionAttributeNames");
    if (Text == "attribute_not_exists(#p)" && Names.at("#p") == "Partition")
      return MustNotExist{};
    if (Text == "#v = :v" && Names.at("#v") == "Version")
      return MustHaveVersion{
          parseNumber(From.at("ExpressionAttributeValues").at(":v"))};

    throw PlatformProtocolError("unsupported condition: " + Text);
  }

  static Write parseWrite(const Json &From) {
    if (From.contains("Put")) {
      const Json &Put = From.at("Put");
      const Json &Item = Put.at("Item");
      auto Value = fromBase64(Item.at("Value").at("B"));
      if (!Value)
        throw PlatformProtocolError("malformed base64");
      return PutRow{parseKey(Item), parseNumber(Item.at("Version")), *Value,
                    parseCondition(Put)};
    }
    if (From.contains("Delete"))
      return DeleteRow{parseKey(From.at("Delete").at("Key")),
                       parseCondition(From.at("Delete"))};

    const Json &Check = From.at("ConditionCheck");
    return CheckRow{parseKey(Check.at("Key")), parseCondition(Check)};
  }

  http::Response getItem(const Json &Arguments) const {
    auto Found = Table.read(parseKey(Arguments.at("Key")));
    Json Document = Json::object();
    if (Found)
      Document["Item"] = toJson(*Found);

    return makeResponse(200, Document.dump());
  }

  http::Response query(const Json &Arguments) const {
    const Json &Values = Arguments.at("ExpressionAttributeValues");
    std::string Partition = Values.at(":p").at("S");
    std::string From;
    if (Values.contains(":s"))
      From = Values.at(":s").at("S");
    // The smallest sort key after the last one of the previous page.
    if (Arguments.contains("ExclusiveStartKey"))
      From = parseKey(Arguments.at("ExclusiveStartKey")).Sort + '\0';

    std::size_t Limit = Arguments.at("Limit");
    std::size_t Bytes = 0;
    Json Items = Json::array();
    Json Last;
    for (const Row &Each : Table.query(Partition, From, Limit)) {
      Items.push_back(toJson(Each));
      Last = toJson(Each.Key);
      Bytes += Each.Value.size();
      if (Bytes >= PageBytes)
        break;
    }

    // Like DynamoDB, returns LastEvaluatedKey even if no rows follow.
    Json Document{{"Items", Items}, {"Count", Items.size()}};
    if (!Items.empty() && (Items.size() == Limit || Bytes >= PageBytes))
      Document["LastEvaluatedKey"] = Last;
    return makeResponse(200, Document.dump());
  }

  http::Response transact(const Json &Arguments, TimePoint Now) {
    Transaction Writes{Arguments.at("ClientRequestToken"), {}};
    if (Writes.Token.size() > 36)
      throw PlatformProtocolError("token too long");
    for (const Json &Each : Arguments.at("TransactItems"))
      Writes.Writes.push_back(parseWrite(Each));

    try {
      Table.commit(Writes, Now);
      return makeResponse(200, "{}");
    } catch (const ConditionFailed &Failure) {
      Json Document{
          {"__type",
           "com.amazonaws.dynamodb.v20120810#TransactionCanceledException"},
          {"message", Failure.what()},
          {"CancellationReasons",
           Json::array({Json{{"Code", "ConditionalCheckFailed"},
                             {"Message", Failure.what()}}})}};
      return makeResponse(400, Document.dump());
    }
  }

  MemoryTable Table;
};

} // namespace daisyspool

#endif // DAISYSPOOL_STANDINS_DYNAMOFRONTEND_H
