#include "daisyspool/agent/Announcer.h"

#include "daisyspool/core/Hash.h"
#include "daisyspool/telemetry/Log.h"

#include <nlohmann/json.hpp>

#include <memory>

namespace daisyspool {

namespace {

constexpr Millis AnnounceTimeout{1000};

} // namespace

Announcer::Announcer(boost::asio::io_context &Io, http::Endpoint Balancer,
                     wire::Announcement Content, Millis Interval,
                     SeedCallback OnSeeds)
    : Io(Io), Balancer(std::move(Balancer)), Content(std::move(Content)),
      Interval(Interval), OnSeeds(std::move(OnSeeds)), Timer(Io),
      Jitter(
          stableHash(this->Content.Agent.str(), this->Content.Number.value())) {
  announce();
  schedule();
}

void Announcer::leave() {
  Content.Leaving = true;
  announce();
}

void Announcer::announce() {
  auto OneShotClient =
      std::make_shared<http::Client>(Io, http::Client::Options{Balancer});
  http::Request Outgoing{
      "POST",
      "/v1/announce",
      {{"Content-Type", "application/json"}, {"Connection", "close"}},
      wire::toJson(Content)};
  OneShotClient->send(
      std::move(Outgoing), AnnounceTimeout,
      [this, OneShotClient](http::Response Answer, std::exception_ptr Failure) {
        if (!Failure && Answer.Status == 200)
          return onAnswer(Answer);
        LogEvent(LogLevel::Warning, "announce_failed")
            .with("status", Answer.Status);
      });
}

void Announcer::onAnswer(const http::Response &Answer) {
  auto Document = nlohmann::json::parse(Answer.Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("gossip") ||
      !Document["gossip"].is_array())
    return;

  std::vector<http::Endpoint> Seeds;
  for (const auto &Each : Document["gossip"])
    if (Each.is_string())
      if (auto Endpoint = http::parseEndpoint(Each.get<std::string>()))
        Seeds.push_back(*Endpoint);
  OnSeeds(std::move(Seeds));
}

void Announcer::schedule() {
  // A random delay keeps agents that start together from always announcing at
  // the same time.
  auto RandomDelay = Millis(static_cast<std::int64_t>(
      Jitter.below(static_cast<std::uint64_t>(Interval.count() / 2 + 1))));
  Timer.expires_after(Interval - Interval / 4 + RandomDelay);
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    announce();
    schedule();
  });
}

} // namespace daisyspool
