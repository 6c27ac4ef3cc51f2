#include "http/RequestReader.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstring>

using namespace daisyspool::http;

namespace {

constexpr std::size_t HeaderBytes = 16 * 1024;
constexpr std::size_t BodyBytes = 64 * 1024;
/// A body before and after its pieces are joined, its header with a line for
/// each four bytes, and the read buffer.
constexpr std::size_t MaxHeldBytes =
    2 * BodyBytes + 2 * (HeaderBytes / 4) * sizeof(Header) + 4 * HeaderBytes;

struct Outcome {
  RequestReader::State State = RequestReader::State::NeedsMore;
  std::size_t Used = 0;
  std::size_t MostHeld = 0;
};

/// Passes \p Bytes to \p Reader in pieces of up to \p Piece.
Outcome feed(RequestReader &Reader, const std::string &Bytes,
             std::size_t Piece) {
  Outcome Result;
  while (Result.Used < Bytes.size() &&
         Result.State == RequestReader::State::NeedsMore) {
    auto Space = Reader.prepare();
    std::size_t Count =
        std::min({Space.size(), Piece, Bytes.size() - Result.Used});
    REQUIRE(Count > 0);
    std::memcpy(Space.data(), Bytes.data() + Result.Used, Count);
    Reader.commit(Count);
    Result.Used += Count;
    Result.State = Reader.parse();
    Result.MostHeld = std::max(Result.MostHeld, Reader.heldBytes());
  }
  return Result;
}

Outcome feed(const std::string &Bytes, std::size_t Piece) {
  RequestReader Reader({HeaderBytes, BodyBytes});
  return feed(Reader, Bytes, Piece);
}

const std::string ChunkedHead =
    "POST /queue/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string &Body, const std::string &Extension) {
  char Size[16];
  std::snprintf(Size, sizeof(Size), "%zx", Body.size());
  return Size + Extension + "\r\n" + Body + "\r\n";
}

} // namespace

// Guards against a request that is read differently when it arrives in other
// pieces, and against trailers that become headers.
TEST_CASE("a chunked request is the same in any pieces") {
  REQUIRE(rc::check([] {
    std::string Bytes = ChunkedHead;
    std::string Body;
    auto Chunks = *rc::gen::container<std::vector<std::string>>(
        rc::gen::string<std::string>());
    for (const std::string &Each : Chunks) {
      if (Each.empty())
        continue;
      auto Extension = *rc::gen::element<std::string>("", ";x", ";x=1;y=\"z\"");
      Bytes += chunk(Each, Extension);
      Body += Each;
    }
    auto Trailers = *rc::gen::element<std::string>("", "X-Trailer: 1\r\n",
                                                   "Host: b\r\nX-Other: 2\r\n");
    Bytes += "0\r\n" + Trailers + "\r\n";
    std::string Next = *rc::gen::element<std::string>("", "GET / HT");
    RequestReader Reader({HeaderBytes, BodyBytes});
    auto Outcome = feed(Reader, Bytes + Next, *rc::gen::inRange(1, 100));
    RC_ASSERT(Outcome.State == RequestReader::State::Complete);
    RC_ASSERT(Reader.parser().Message.Body == Body);
    RC_ASSERT(Reader.parser().Message.Headers.size() == 2U);
  }));
}

// Guards against an assertion of the parser that ended the process when the
// end of a body without chunks arrived byte by byte.
TEST_CASE("a last chunk may arrive byte by byte") {
  REQUIRE(feed(ChunkedHead + "0\r\n\r\n", 1).State ==
          RequestReader::State::Complete);
  REQUIRE(feed(ChunkedHead + "0\r\nA: b\r\n\r\n", 1).State ==
          RequestReader::State::Complete);
}

// Guards against bytes that make the reader hold more than its limits allow.
TEST_CASE("no bytes make the reader exceed its limits") {
  REQUIRE(rc::check([] {
    std::string Bytes = ChunkedHead + chunk("{}", ";x=1") + "0\r\nA: b\r\n";
    auto Part = *rc::gen::element<std::string>("x", "a:b\r\n", "1\r\nx\r\n",
                                               "\r\n", ";", "A: b");
    auto From = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    std::string Repeated;
    while (Repeated.size() < 40 * HeaderBytes)
      Repeated += Part;
    Bytes.insert(From, Repeated);
    auto Outcome = feed(Bytes, *rc::gen::inRange(100, 70000));
    RC_ASSERT(Outcome.MostHeld <= MaxHeldBytes);
  }));
}

// Guards against trailers and chunk extensions without end, which the parser
// kept until the process ran out of memory.
TEST_CASE("trailers and chunk extensions are bounded") {
  std::string Trailers = ChunkedHead + chunk("{}", "") + "0\r\n";
  std::string Extension = ChunkedHead + "2;x=";
  while (Trailers.size() < 4 * HeaderBytes)
    Trailers += "X-Trailer: 1\r\n";
  Extension += std::string(4 * HeaderBytes, 'x');
  std::string Extensions = ChunkedHead;
  for (int I = 0; I < 1000; ++I)
    Extensions += chunk("x", ";x=" + std::string(1000, 'x'));
  for (const auto &Bytes : {Trailers, Extension, Extensions}) {
    auto Outcome = feed(Bytes, 4096);
    REQUIRE(Outcome.State == RequestReader::State::TooLarge);
    REQUIRE(Outcome.MostHeld <= 4 * HeaderBytes);
  }
}

// Guards against a body that is read although its declared length or its chunks
// exceed the limit, and against one at the limit that is refused.
TEST_CASE("a body is refused by its declared length or the byte beyond") {
  auto Declared = [](std::size_t Length) {
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(Length) +
           "\r\n\r\n";
  };
  RequestReader Reader({HeaderBytes, BodyBytes});
  REQUIRE(feed(Reader, Declared(BodyBytes + 1), 4096).State ==
          RequestReader::State::TooLarge);
  REQUIRE(Reader.exceededLimit() == "max_body_bytes is 65536");
  REQUIRE(feed(Declared(BodyBytes) + std::string(BodyBytes, 'x'), 4096).State ==
          RequestReader::State::Complete);
  std::string Chunks = ChunkedHead + chunk(std::string(BodyBytes, 'x'), "");
  REQUIRE(feed(Chunks, 4096).State == RequestReader::State::NeedsMore);
  REQUIRE(feed(Chunks + "1\r\n", 4096).State == RequestReader::State::TooLarge);
  std::string Single = ChunkedHead;
  for (std::size_t I = 0; I < BodyBytes; ++I)
    Single += "1\r\nx\r\n";
  REQUIRE(feed(Single + "0\r\n\r\n", 4096).State ==
          RequestReader::State::Complete);
}

// Guards against memory that is taken for a declared length before a byte of
// the body has arrived.
TEST_CASE("a body takes memory only as it arrives") {
  auto Outcome =
      feed("POST / HTTP/1.1\r\nContent-Length: 65536\r\n\r\nxx", 4096);
  REQUIRE(Outcome.State == RequestReader::State::NeedsMore);
  REQUIRE(Outcome.MostHeld < 1024);
}
