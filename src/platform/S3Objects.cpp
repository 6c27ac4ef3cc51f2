#include "daisyspool/platform/S3Objects.h"

#include "platform/PlatformClient.h"

#include <boost/property_tree/ptree.hpp>
#include <boost/property_tree/xml_parser.hpp>

#include <cassert>
#include <sstream>

namespace daisyspool {

namespace {

constexpr const char *DigestHeader = "x-amz-meta-sha256";

/// Returns the code of S3's XML error document; empty if there is none.
std::string errorCode(const std::string &Body) {
  try {
    std::istringstream Text(Body);
    boost::property_tree::ptree Document;
    boost::property_tree::read_xml(Text, Document);
    return Document.get<std::string>("Error.Code", "");
  } catch (const boost::property_tree::ptree_error &) {
    return {};
  }
}

[[noreturn]] void throwFailure(const http::Response &Answer) {
  std::string Code = errorCode(Answer.Body);
  std::string Detail =
      "object store: " + std::to_string(Answer.Status) + ' ' + Code;
  if (Answer.Status == 429 || Code == "SlowDown")
    throw PlatformThrottled(Detail);
  if (Answer.Status >= 500)
    throw PlatformUnavailable(Detail);

  throw PlatformProtocolError(Detail);
}

/// Rejects answers that a proxy made up: S3 sends an entity tag with every
/// object.
void requireEntityTag(const http::Response &Answer) {
  if (!http::findHeader(Answer.Headers, "ETag"))
    throw PlatformProtocolError("object store: answer without ETag");
}

} // namespace

class S3Objects::Impl {
public:
  Impl(Options Config, const Clock &Time)
      : Client(Config.Server, Config.Key, Config.Region, "s3", Config.Timeout,
               Time),
        Bucket(std::move(Config.Bucket)) {}

  http::Response exchange(const std::string &Method, const std::string &Key,
                          std::string Body) {
    assert(!Key.empty());
    std::string Digest = sha256Hex(Body);
    http::Request Outgoing{Method,
                           encodePath('/' + Bucket + '/' + Key),
                           {{"X-Amz-Content-Sha256", Digest}},
                           std::move(Body)};
    if (Method == "PUT")
      Outgoing.Headers.push_back({DigestHeader, Digest});

    return Client.exchange(std::move(Outgoing));
  }

private:
  PlatformClient Client;
  std::string Bucket;
};

S3Objects::S3Objects(Options Config, const Clock &Time)
    : State(std::make_unique<Impl>(std::move(Config), Time)) {}

S3Objects::~S3Objects() = default;

void S3Objects::put(const std::string &Key, const std::string &Bytes) {
  http::Response Answer = State->exchange("PUT", Key, Bytes);
  if (Answer.Status != 200)
    throwFailure(Answer);

  requireEntityTag(Answer);
}

std::optional<std::string> S3Objects::get(const std::string &Key) {
  http::Response Answer = State->exchange("GET", Key, {});
  if (Answer.Status == 404 && errorCode(Answer.Body) == "NoSuchKey")
    return std::nullopt;
  if (Answer.Status != 200)
    throwFailure(Answer);

  requireEntityTag(Answer);
  auto Digest = http::findHeader(Answer.Headers, DigestHeader);
  if (Digest && *Digest != sha256Hex(Answer.Body))
    throw PlatformProtocolError(
        "object store: object does not match its SHA-256");
  return std::move(Answer.Body);
}

void S3Objects::remove(const std::string &Key) {
  http::Response Answer = State->exchange("DELETE", Key, {});
  if (Answer.Status != 204)
    throwFailure(Answer);
}

} // namespace daisyspool
