#include "daisyspool/entry/PeerLinks.h"

#include "daisyspool/core/Hash.h"
#include "daisyspool/telemetry/Log.h"

#include <cassert>
#include <utility>
#include <vector>

namespace daisyspool {

namespace {

/// Answers a forwarded request on the link that delivered it.
class ForwardedExchange final : public http::Exchange {
public:
  using Reply = std::function<void(http::Response)>;

  explicit ForwardedExchange(Reply Send) : Send(std::move(Send)) {}

  ~ForwardedExchange() override {
    if (Send)
      Send(http::toResponse({502, "outcome-unknown",
                             "The owner dropped the request",
                             Execution::Unknown}));
  }

  void respond(http::Response Answer) override {
    assert(Send);
    std::exchange(Send, nullptr)(std::move(Answer));
  }

  // Requests with a streamed answer are never forwarded.
  void beginStream(http::Response) override { assert(false); }
  bool writeChunk(std::string) override { return false; }
  void endStream() override {}
  void onCallerDisconnected(std::function<void()>) override {}

private:
  Reply Send;
};

http::Response unknownOutcome(const char *Detail) {
  return http::toResponse({504, "outcome-unknown", Detail, Execution::Unknown});
}

} // namespace

struct PeerLinks::PendingForward {
  explicit PendingForward(boost::asio::io_context &Io) : Timer(Io) {}

  std::string Address;
  Callback Done;
  boost::asio::steady_timer Timer;
};

PeerLinks::PeerLinks(boost::asio::io_context &Io, Options Config,
                     Handler OnForwarded)
    : Io(Io), Config(std::move(Config)), OnForwarded(std::move(OnForwarded)),
      Source(stableHash(this->Config.Process.str(),
                        this->Config.Number.value() + 1)),
      Incoming(Io, {this->Config.Listen},
               {this->Config.Process, this->Config.Number},
               {[this](wire::Envelope Message, ReplyPath From) {
                  onForwardRequest(std::move(Message), std::move(From));
                },
                {},
                [](const std::string &Detail) {
                  LogEvent(LogLevel::Warning, "protocol_error")
                      .with("detail", Detail);
                }}) {}

PeerLinks::~PeerLinks() = default;

void PeerLinks::openLink(const std::string &Address) {
  auto Endpoint = http::parseEndpoint(Address);
  if (!Endpoint || Links.contains(Address))
    return;

  Link::Callbacks Hooks;
  Hooks.OnMessage = [this](wire::Envelope Message) { onReply(Message); };
  Hooks.OnDown = [this, Address] { onDown(Address); };
  Link::Options LinkOptions;
  LinkOptions.Peer = *Endpoint;
  Links.emplace(Address, std::make_unique<Link>(Io, LinkOptions, Hooks));
}

void PeerLinks::forward(const std::string &Address,
                        const http::Request &Request, Duration Timeout,
                        Callback Done) {
  openLink(Address);
  wire::ForwardRequest Message;
  Message.Attempt = wire::AttemptId(Source.next());
  Message.Remaining = Timeout;
  Message.Method = Request.Method;
  Message.Path = Request.Target;
  for (const http::Header &Each : Request.Headers)
    Message.Headers.emplace_back(Each.Name, Each.Value);
  Message.Body = Request.Body;
  std::uint64_t Key = Message.Attempt.value();
  auto Found = Links.find(Address);
  if (Found == Links.end() ||
      Found->second->send(
          {Config.Process, Config.Number, {}, std::move(Message)}) !=
          Link::SendResult::Sent)
    return Done(http::toResponse({503, "shard-unavailable",
                                  "The owner of the request's shard cannot be "
                                  "reached",
                                  Execution::NotRun}));

  auto Pending = std::make_shared<PendingForward>(Io);
  Pending->Address = Address;
  Pending->Done = std::move(Done);
  Pending->Timer.expires_after(Timeout);
  Pending->Timer.async_wait([this, Key](boost::system::error_code Failure) {
    if (Failure)
      return;
    auto Expired = PendingForwards.extract(Key);
    if (!Expired.empty())
      Expired.mapped()->Done(
          unknownOutcome("The owner of the shard did not answer in time"));
  });
  PendingForwards.emplace(Key, std::move(Pending));
}

void PeerLinks::onReply(const wire::Envelope &Message) {
  const auto *Reply = std::get_if<wire::ForwardReply>(&Message.Content);
  if (Reply == nullptr)
    return;
  auto Pending = PendingForwards.extract(Reply->Attempt.value());
  if (Pending.empty())
    return;

  Pending.mapped()->Timer.cancel();
  Pending.mapped()->Done(
      {Reply->Status, {{"Content-Type", Reply->ContentType}}, Reply->Body});
}

void PeerLinks::onDown(const std::string &Address) {
  std::vector<std::shared_ptr<PendingForward>> Lost;
  std::erase_if(PendingForwards, [&](const auto &Each) {
    if (Each.second->Address != Address)
      return false;
    Lost.push_back(Each.second);
    return true;
  });
  for (const auto &Each : Lost) {
    Each->Timer.cancel();
    Each->Done(unknownOutcome("The link to the owner of the shard was lost"));
  }
}

void PeerLinks::onForwardRequest(wire::Envelope Message, ReplyPath From) {
  auto *Forwarded = std::get_if<wire::ForwardRequest>(&Message.Content);
  if (Forwarded == nullptr)
    return;

  http::Request Received{
      Forwarded->Method, Forwarded->Path, {}, Forwarded->Body};
  for (auto &[Name, Value] : Forwarded->Headers)
    Received.Headers.push_back({Name, Value});
  Received.Headers.push_back({"Daisyspool-Forwarded", "yes"});
  auto Send = [this, Attempt = Forwarded->Attempt,
               From = std::move(From)](const http::Response &Answer) {
    wire::ForwardReply Reply{
        Attempt, Answer.Status,
        http::findHeader(Answer.Headers, "Content-Type").value_or(""),
        Answer.Body};
    Incoming.reply(From, {Config.Process, Config.Number, {}, std::move(Reply)});
  };
  OnForwarded(std::move(Received),
              std::make_shared<ForwardedExchange>(std::move(Send)));
}

} // namespace daisyspool
