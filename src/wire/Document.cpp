#include "daisyspool/wire/Document.h"

#include <string>
#include <utility>
#include <vector>

namespace daisyspool::wire {

namespace {

using nlohmann::json;

/// Whether \p Text is UTF-8 as of RFC 3629.
bool isUtf8(std::string_view Text) {
  auto Byte = [&Text](std::size_t I) -> unsigned {
    return I < Text.size() ? static_cast<unsigned char>(Text[I]) : 0U;
  };
  for (std::size_t I = 0; I < Text.size();) {
    unsigned Lead = Byte(I);
    // The range of the second byte excludes overlong forms, surrogates and
    // values above U+10FFFF.
    unsigned Low = 0x80;
    unsigned High = 0xBF;
    std::size_t Length = 0;
    if (Lead < 0x80) {
      ++I;
      continue;
    }
    if (Lead >= 0xC2 && Lead <= 0xDF) {
      Length = 2;
    } else if (Lead >= 0xE0 && Lead <= 0xEF) {
      Length = 3;
      Low = Lead == 0xE0 ? 0xA0 : Low;
      High = Lead == 0xED ? 0x9F : High;
    } else if (Lead >= 0xF0 && Lead <= 0xF4) {
      Length = 4;
      Low = Lead == 0xF0 ? 0x90 : Low;
      High = Lead == 0xF4 ? 0x8F : High;
    } else {
      return false;
    }
    if (Byte(I + 1) < Low || Byte(I + 1) > High)
      return false;
    for (std::size_t K = 2; K < Length; ++K)
      if (Byte(I + K) < 0x80 || Byte(I + K) > 0xBF)
        return false;
    I += Length;
  }

  return true;
}

/// Builds a document from the events of a parser and stops the parser at the
/// first value beyond the limits; the parser itself has none.
class BoundedBuilder final : public json::json_sax_t {
public:
  explicit BoundedBuilder(const DocumentLimits &Limits) : Limits(Limits) {}

  bool null() override { return add(nullptr); }
  bool boolean(bool Value) override { return add(Value); }
  bool number_integer(std::int64_t Value) override { return add(Value); }
  bool number_unsigned(std::uint64_t Value) override { return add(Value); }
  bool number_float(double Value, const std::string &) override {
    return add(Value);
  }
  bool string(std::string &Value) override {
    return requireUtf8(Value) && add(std::move(Value));
  }
  bool binary(json::binary_t &Value) override { return add(std::move(Value)); }
  bool start_object(std::size_t) override { return open(json::object()); }
  bool start_array(std::size_t) override { return open(json::array()); }
  bool key(std::string &Name) override {
    if (!requireUtf8(Name))
      return false;
    Key = std::move(Name);
    return true;
  }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }
  bool parse_error(std::size_t Position, const std::string &,
                   const json::exception &) override {
    Problem = "malformed at byte " + std::to_string(Position);
    return false;
  }

  json Root;
  std::string Problem;

private:
  /// The JSON parser checks text itself, the MessagePack parser does not.
  bool requireUtf8(const std::string &Text) {
    if (isUtf8(Text))
      return true;
    Problem = "text that is not UTF-8";
    return false;
  }

  bool add(json Value) { return append(std::move(Value)) != nullptr; }

  bool open(json Empty) {
    if (Open.size() >= Limits.MaxDepth) {
      Problem = "more than " + std::to_string(Limits.MaxDepth) + " levels";
      return false;
    }
    json *Added = append(std::move(Empty));
    if (Added)
      Open.push_back(Added);
    return Added != nullptr;
  }

  bool close() {
    Open.pop_back();
    return true;
  }

  /// Null if there are too many elements.
  json *append(json Value) {
    if (++Elements > Limits.MaxElements) {
      Problem = "more than " + std::to_string(Limits.MaxElements) + " elements";
      return nullptr;
    }
    if (Open.empty()) {
      Root = std::move(Value);
      return &Root;
    }
    json &Parent = *Open.back();
    if (Parent.is_object())
      return &(Parent[Key] = std::move(Value));
    Parent.push_back(std::move(Value));
    return &Parent.back();
  }

  const DocumentLimits &Limits;
  /// The arrays and objects that are not complete, outermost first. They stay
  /// in place, as only the innermost one grows.
  std::vector<json *> Open;
  std::string Key;
  std::size_t Elements = 0;
};

json parse(std::string_view Bytes, const DocumentLimits &Limits,
           json::input_format_t Format) {
  if (Bytes.size() > Limits.MaxBytes)
    throw ProtocolError("document of more than " +
                        std::to_string(Limits.MaxBytes) + " bytes");
  BoundedBuilder Builder(Limits);
  if (!json::sax_parse(Bytes.begin(), Bytes.end(), &Builder, Format))
    throw ProtocolError("unreadable document: " + Builder.Problem);

  return std::move(Builder.Root);
}

ProtocolError outOfRange(const json &Value, const std::string &Min,
                         const std::string &Max) {
  return ProtocolError("number " + Value.dump() + " is not from " + Min +
                       " to " + Max);
}

void requireNumber(const json &Value) {
  if (!Value.is_number())
    throw ProtocolError(std::string("a number expected, not ") +
                        Value.type_name());
}

bool isRepresentable(const json &Number) {
  // A conversion of a double beyond these bounds is undefined, and gives
  // different results on x86-64 and arm64.
  constexpr double Bound = 9223372036854775808.0;
  if (Number.is_number_float())
    return Number.get<double>() >= -Bound && Number.get<double>() < Bound;
  return !Number.is_number_unsigned() ||
         Number.get<std::uint64_t>() <=
             static_cast<std::uint64_t>(
                 std::numeric_limits<std::int64_t>::max());
}

} // namespace

json parseJson(std::string_view Bytes, const DocumentLimits &Limits) {
  return parse(Bytes, Limits, json::input_format_t::json);
}

json parseMsgpack(std::string_view Bytes, const DocumentLimits &Limits) {
  return parse(Bytes, Limits, json::input_format_t::msgpack);
}

std::int64_t wholeNumber(const json &Value, std::int64_t Min,
                         std::int64_t Max) {
  requireNumber(Value);
  if (isRepresentable(Value)) {
    auto Result = Value.get<std::int64_t>();
    if (Result >= Min && Result <= Max)
      return Result;
  }
  throw outOfRange(Value, std::to_string(Min), std::to_string(Max));
}

double realNumber(const json &Value, double Min, double Max) {
  requireNumber(Value);
  auto Result = Value.get<double>();
  // False also for NaN.
  if (Result >= Min && Result <= Max)
    return Result;
  throw outOfRange(Value, std::to_string(Min), std::to_string(Max));
}

} // namespace daisyspool::wire
