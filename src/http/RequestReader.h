// Parses one request whose parts are bounded before they are stored.
#ifndef DAISYSPOOL_SRC_HTTP_REQUESTREADER_H
#define DAISYSPOOL_SRC_HTTP_REQUESTREADER_H

#include "daisyspool/http/Types.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <optional>

namespace daisyspool::http {

namespace beast = boost::beast;

/// Parser that stores a request as the handlers take it. Trailers and chunk
/// extensions are checked and dropped.
///
/// Thread safety: one thread.
class RequestParser final : public beast::http::basic_parser<true> {
public:
  /// Memory of the request so far.
  std::size_t storedBytes() const;
  /// Bytes until the body is complete, or the largest number if the request
  /// does not say.
  std::size_t remainingBytes() const;

  Request Message;
  unsigned Version = 11;

private:
  using Text = beast::string_view;
  using Failure = beast::error_code;

  void on_request_impl(beast::http::verb Verb, Text Method, Text Target,
                       int HttpVersion, Failure &Code) override;
  void on_response_impl(int, Text, int, Failure &) override {}
  void on_field_impl(beast::http::field Field, Text Name, Text Value,
                     Failure &Code) override;
  void on_header_impl(Failure &Code) override;
  void on_body_init_impl(boost::optional<std::uint64_t> const &Length,
                         Failure &Code) override;
  std::size_t on_body_impl(Text Bytes, Failure &Code) override;
  void on_chunk_header_impl(std::uint64_t Size, Text Extensions,
                            Failure &Code) override;
  std::size_t on_chunk_body_impl(std::uint64_t Remaining, Text Bytes,
                                 Failure &Code) override;
  void on_finish_impl(Failure &Code) override;

  std::size_t append(Text Bytes);
  void joinHeaders();
  void joinBody();

  /// The body behind its first piece, which is in Message.
  std::vector<std::string> Pieces;
  /// Names and values of the header lines, each followed by a separator.
  std::string HeaderText;
  std::size_t HeaderCount = 0;
  bool HeaderDone = false;
};

/// Reads requests from the bytes of one connection, one after the other.
///
/// Thread safety: one thread.
class RequestReader {
public:
  struct Limits {
    std::size_t HeaderBytes = 16 * 1024;
    std::size_t BodyBytes = 4 * 1024 * 1024;
  };

  enum class State { NeedsMore, Complete, TooLarge, Malformed };

  explicit RequestReader(Limits Config);

  /// Starts the next request. Bytes behind the previous one are kept.
  void startNext();
  /// The limit of the body from the next request on.
  void limitBody(std::size_t Bytes) { Config.BodyBytes = Bytes; }

  /// Space for received bytes; empty if the buffer is full. commit() adds the
  /// first \p Count of them.
  beast::flat_buffer::mutable_buffers_type prepare();
  void commit(std::size_t Count);

  /// Parses what was received. Precondition: the last result was NeedsMore.
  State parse();

  /// Space for bytes behind a complete request; empty once they fill the
  /// buffer.
  beast::flat_buffer::mutable_buffers_type prepareNext();

  /// Drops the current request and all bytes.
  void drop();
  /// Space for bytes that are not wanted.
  beast::flat_buffer::mutable_buffers_type prepareDiscard();

  /// The name and value of the exceeded limit. Precondition: parse() returned
  /// TooLarge.
  const std::string &exceededLimit() const { return Exceeded; }

  RequestParser &parser() { return *Parser; }
  bool hasBytes() const { return Buffer.size() > 0; }
  /// Whether a request has begun.
  bool started() const { return Parser->got_some() || hasBytes(); }
  /// Bytes of memory beyond the first buffer of a connection.
  std::size_t heldBytes() const;

private:
  State tooLarge(const char *Name, std::size_t Value);
  State classify(const beast::error_code &Failure);

  Limits Config;
  beast::flat_buffer Buffer;
  std::optional<RequestParser> Parser;
  /// Bytes that the current request took so far, with its framing.
  std::size_t WireBytes = 0;
  std::string Exceeded;
};

} // namespace daisyspool::http

#endif // DAISYSPOOL_SRC_HTTP_REQUESTREADER_H
