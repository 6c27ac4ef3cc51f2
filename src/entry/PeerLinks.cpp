#include "daisyspool/entry/PeerLinks.h"

#include "daisyspool/core/Hash.h"
#include "daisyspool/telemetry/Log.h"

#include <cassert>
#include <utility>
#include <vector>

namespace daisyspool {

namespace {

/// Answers a forwarded request over the link on which it came.
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

  // Only requests with a whole answer are forwarded.
  void beginStream(http::Response) override { assert(false); }
  bool writeChunk(std::string) override { return false; }
  void endStream() override {}
  void onCallerLeft(std::function<void()>) override {}

private:
  Reply Send;
};

http::Response unknownOutcome(const char *Detail) {
  return http::toResponse({504, "outcome-unknown", Detail, Execution::Unknown});
}

} // namespace

struct PeerLinks::Pending {
  explicit Pending(boost::asio::io_context &Io) : Timer(Io) {}

  std::string Address;
  Callback Done;
  boost::asio::steady_timer Timer;
};

PeerLinks::PeerLinks(boost::asio::io_context &Io, Options Config,
                     Handler OnForwarded)
    : Io(Io), Config(std::move(Config)), OnForwarded(std::move(OnForwarded)),
      Source(stableHash(this->Config.Process.str(),
                        this->Config.Number.value() + 1)),
      Port(Io, {this->Config.Listen},
           {this->Config.Process, this->Config.Number},
           {[this](wire::Envelope What, ReplyPath From) {
              serve(std::move(What), std::move(From));
            },
            {},
            [](const std::string &Detail) {
              LogEvent(LogLevel::Warning, "protocol_error")
                  .with("detail", Detail);
            }}) {}

PeerLinks::~PeerLinks() = default;

void PeerLinks::prepare(const std::string &Address) {
  auto Where = http::parseEndpoint(Address);
  if (!Where || Links.contains(Address))
    return;

  Link::Callbacks Hooks;
  Hooks.OnMessage = [this](wire::Envelope What) { onReply(What); };
  Hooks.OnDown = [this, Address] { onDown(Address); };
  Link::Options LinkOptions;
  LinkOptions.Peer = *Where;
  Links.emplace(Address, std::make_unique<Link>(Io, LinkOptions, Hooks));
}

void PeerLinks::forward(const std::string &Address, const http::Request &What,
                        Duration Limit, Callback Done) {
  prepare(Address);
  wire::ForwardRequest Message;
  Message.Attempt = wire::AttemptId(Source.next());
  Message.Remaining = Limit;
  Message.Method = What.Method;
  Message.Path = What.Target;
  for (const http::Header &Each : What.Headers)
    Message.Headers.emplace_back(Each.Name, Each.Value);
  Message.Body = What.Body;
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

  auto Entry = std::make_shared<Pending>(Io);
  Entry->Address = Address;
  Entry->Done = std::move(Done);
  Entry->Timer.expires_after(Limit);
  Entry->Timer.async_wait([this, Key](boost::system::error_code Failure) {
    if (Failure)
      return;
    auto Late = Waiting.extract(Key);
    if (!Late.empty())
      Late.mapped()->Done(
          unknownOutcome("The owner of the shard did not answer in time"));
  });
  Waiting.emplace(Key, std::move(Entry));
}

void PeerLinks::onReply(const wire::Envelope &What) {
  const auto *Reply = std::get_if<wire::ForwardReply>(&What.Content);
  if (Reply == nullptr)
    return;
  auto Entry = Waiting.extract(Reply->Attempt.value());
  if (Entry.empty())
    return;

  Entry.mapped()->Timer.cancel();
  Entry.mapped()->Done(
      {Reply->Status, {{"Content-Type", Reply->ContentType}}, Reply->Body});
}

void PeerLinks::onDown(const std::string &Address) {
  std::vector<std::shared_ptr<Pending>> Lost;
  std::erase_if(Waiting, [&](const auto &Each) {
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

void PeerLinks::serve(wire::Envelope What, ReplyPath From) {
  auto *Message = std::get_if<wire::ForwardRequest>(&What.Content);
  if (Message == nullptr)
    return;

  http::Request Received{Message->Method, Message->Path, {}, Message->Body};
  for (auto &[Name, Value] : Message->Headers)
    Received.Headers.push_back({Name, Value});
  Received.Headers.push_back({"Daisyspool-Forwarded", "yes"});
  auto Send = [this, Attempt = Message->Attempt,
               From = std::move(From)](const http::Response &Answer) {
    wire::ForwardReply Reply{
        Attempt, Answer.Status,
        http::findHeader(Answer.Headers, "Content-Type").value_or(""),
        Answer.Body};
    Port.reply(From, {Config.Process, Config.Number, {}, std::move(Reply)});
  };
  OnForwarded(std::move(Received),
              std::make_shared<ForwardedExchange>(std::move(Send)));
}

} // namespace daisyspool
