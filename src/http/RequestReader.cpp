#include "http/RequestReader.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace daisyspool::http {

namespace {

/// The first buffer of a connection, which most requests fit in.
constexpr std::size_t FirstBufferBytes = 4 * 1024;
/// Buffer while a body arrives. Each filling is one turn of the event loop.
constexpr std::size_t BodyBufferBytes = 16 * 1024;
constexpr std::size_t PieceBytes = 16 * 1024;
/// Not part of a header line.
constexpr char LineSeparator = '\n';
/// Bytes on the wire for each byte of a body. A chunk of one byte takes six.
constexpr std::size_t WireBytesPerBodyByte = 8;

/// "0", two line ends. The parser of Boost 1.74 asserts that it is not called
/// with fewer bytes once it has seen the last chunk, and no chunked request
/// ends with fewer.
constexpr std::size_t LastChunkBytes = 5;

std::string toString(beast::string_view View) {
  return {View.data(), View.size()};
}

} // namespace

std::size_t RequestParser::storedBytes() const {
  return Message.Body.capacity() + Pieces.size() * PieceBytes +
         Message.Target.capacity() + HeaderText.capacity() +
         Message.Headers.capacity() * sizeof(Header);
}

void RequestParser::on_request_impl(beast::http::verb, Text Method, Text Target,
                                    int HttpVersion, Failure &) {
  Message.Method = toString(Method);
  Message.Target = toString(Target);
  Version = static_cast<unsigned>(HttpVersion);
}

/// Keeps the lines as text until the request is complete: a table of them
/// takes 16 times the bytes of thousands of empty lines.
void RequestParser::on_field_impl(beast::http::field, Text Name, Text Value,
                                  Failure &) {
  if (HeaderDone)
    return;
  HeaderText.append(Name.data(), Name.size()).push_back(LineSeparator);
  HeaderText.append(Value.data(), Value.size()).push_back(LineSeparator);
  ++HeaderCount;
}

void RequestParser::on_header_impl(Failure &) { HeaderDone = true; }

void RequestParser::on_body_init_impl(boost::optional<std::uint64_t> const &,
                                      Failure &) {}

std::size_t RequestParser::on_body_impl(Text Bytes, Failure &) {
  return append(Bytes);
}

void RequestParser::on_chunk_header_impl(std::uint64_t, Text, Failure &) {}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t, Text Bytes,
                                              Failure &) {
  return append(Bytes);
}

void RequestParser::on_finish_impl(Failure &) {
  joinHeaders();
  joinBody();
}

void RequestParser::joinHeaders() {
  Message.Headers.reserve(HeaderCount);
  std::size_t Position = 0;
  auto Next = [&] {
    std::size_t End = HeaderText.find(LineSeparator, Position);
    std::string Part = HeaderText.substr(Position, End - Position);
    Position = End + 1;
    return Part;
  };
  while (Position < HeaderText.size()) {
    std::string Name = Next();
    Message.Headers.push_back({std::move(Name), Next()});
  }
}

void RequestParser::joinBody() {
  if (Pieces.empty())
    return;
  std::string Whole;
  Whole.reserve((Pieces.size() + 1) * PieceBytes);
  Whole.append(Message.Body);
  for (std::string &Each : Pieces) {
    Whole.append(Each);
    std::string().swap(Each);
  }
  Pieces.clear();
  Message.Body = std::move(Whole);
}

std::size_t RequestParser::remainingBytes() const {
  if (!is_header_done())
    return std::numeric_limits<std::size_t>::max();
  auto Remaining = content_length_remaining();
  return Remaining ? static_cast<std::size_t>(*Remaining)
                   : std::numeric_limits<std::size_t>::max();
}

/// Doubles the memory of a small body; a larger one continues in pieces of one
/// size. Bodies that grow as a whole leave gaps in the heap that are larger
/// than what they hold.
std::size_t RequestParser::append(Text Bytes) {
  std::string *Last = Pieces.empty() ? &Message.Body : &Pieces.back();
  if (Last->size() >= PieceBytes) {
    Pieces.emplace_back();
    Last = &Pieces.back();
    Last->reserve(PieceBytes);
  }
  // The parser passes what is left again.
  std::size_t Count = std::min(Bytes.size(), PieceBytes - Last->size());
  std::size_t Needed = Last->size() + Count;
  if (Needed > Last->capacity())
    Last->reserve(std::min(PieceBytes, std::max(Needed, 2 * Last->capacity())));
  Last->append(Bytes.data(), Count);
  return Count;
}

RequestReader::RequestReader(Limits Config) : Config(Config) { startNext(); }

void RequestReader::startNext() {
  Parser.emplace();
  Parser->header_limit(static_cast<std::uint32_t>(Config.HeaderBytes));
  Parser->body_limit(Config.BodyBytes);
  Parser->eager(true);
  WireBytes = 0;
  // The memory that a body needed is not kept for an idle connection.
  if (Buffer.capacity() > FirstBufferBytes && Buffer.size() == 0)
    Buffer.shrink_to_fit();
}

beast::flat_buffer::mutable_buffers_type RequestReader::prepare() {
  bool InBody = Parser->is_header_done();
  std::size_t Max = Config.HeaderBytes + FirstBufferBytes;
  std::size_t Wanted =
      std::max(Buffer.capacity(), InBody ? BodyBufferBytes : FirstBufferBytes);
  // A header line, chunk header or trailer that is not complete fills the
  // buffer.
  if (Buffer.size() == Wanted)
    Wanted *= 2;
  Wanted = std::min(Wanted, Max);
  return Buffer.prepare(Wanted - std::min(Wanted, Buffer.size()));
}

beast::flat_buffer::mutable_buffers_type RequestReader::prepareNext() {
  std::size_t Max = std::min(Config.HeaderBytes, BodyBufferBytes);
  return Buffer.prepare(Max - std::min(Max, Buffer.size()));
}

beast::flat_buffer::mutable_buffers_type RequestReader::prepareDiscard() {
  Buffer.clear();
  return Buffer.prepare(FirstBufferBytes);
}

void RequestReader::drop() {
  startNext();
  Buffer.clear();
  Buffer.shrink_to_fit();
}

void RequestReader::commit(std::size_t Count) { Buffer.commit(Count); }

RequestReader::State RequestReader::parse() {
  while (Buffer.size() > 0) {
    if (Parser->is_header_done() && Parser->chunked() &&
        Buffer.size() < LastChunkBytes)
      break;
    beast::error_code Failure;
    std::size_t Used = Parser->put(Buffer.data(), Failure);
    Buffer.consume(Used);
    WireBytes += Used;
    if (Failure && Failure != beast::http::error::need_more)
      return classify(Failure);
    if (Parser->is_done())
      return State::Complete;
    // The parser's own limit is not cumulative: it begins anew with each line.
    if (!Parser->is_header_done() &&
        WireBytes + Buffer.size() > Config.HeaderBytes)
      return tooLarge("max_header_bytes", Config.HeaderBytes);
    if (WireBytes >
        2 * Config.HeaderBytes + WireBytesPerBodyByte * Config.BodyBytes)
      return tooLarge("max_body_bytes", Config.BodyBytes);
    if (Failure)
      break;
  }
  if (Buffer.size() >= Config.HeaderBytes + FirstBufferBytes)
    return tooLarge("max_header_bytes", Config.HeaderBytes);
  return State::NeedsMore;
}

std::size_t RequestReader::heldBytes() const {
  return Parser->storedBytes() +
         (Buffer.capacity() > FirstBufferBytes ? Buffer.capacity() : 0);
}

RequestReader::State RequestReader::tooLarge(const char *Name,
                                             std::size_t Value) {
  Exceeded = std::string(Name) + " is " + std::to_string(Value);
  return State::TooLarge;
}

RequestReader::State RequestReader::classify(const beast::error_code &Failure) {
  if (Failure == beast::http::error::body_limit)
    return tooLarge("max_body_bytes", Config.BodyBytes);
  if (Failure == beast::http::error::header_limit)
    return tooLarge("max_header_bytes", Config.HeaderBytes);
  return State::Malformed;
}

} // namespace daisyspool::http
