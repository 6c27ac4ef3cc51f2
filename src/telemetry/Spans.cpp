#include "daisyspool/telemetry/Spans.h"

#include "daisyspool/core/Ring.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <thread>

namespace daisyspool {

namespace {

constexpr std::size_t TraceIdDigits = 32;
constexpr std::size_t SpanIdDigits = 16;
constexpr std::size_t TraceParentLength = 55;
constexpr std::size_t RingCapacity = 8192;
constexpr std::size_t BatchSize = 256;
constexpr std::chrono::milliseconds FlushInterval{200};

bool isLowerHex(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char Each) {
    return (Each >= '0' && Each <= '9') || (Each >= 'a' && Each <= 'f');
  });
}

bool allZero(std::string_view Text) {
  return Text.find_first_not_of('0') == std::string_view::npos;
}

std::string hexDigits(Random &Source, std::size_t Count) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Result(Count, '0');
  do {
    for (char &Each : Result)
      Each = Digits[Source.below(Digits.size())];
  } while (allZero(Result));

  return Result;
}

nlohmann::json toOtlp(const Span &Finished) {
  auto StartNanos =
      std::chrono::duration_cast<std::chrono::nanoseconds>(Finished.Start);
  nlohmann::json Attributes = nlohmann::json::array();
  for (const auto &[Key, Value] : Finished.Attributes)
    Attributes.push_back({{"key", Key}, {"value", {{"stringValue", Value}}}});

  return {{"traceId", Finished.Context.TraceId},
          {"spanId", Finished.SpanId},
          {"parentSpanId", Finished.Context.ParentSpanId},
          {"name", Finished.Name},
          {"kind", 2},
          {"startTimeUnixNano", std::to_string(StartNanos.count())},
          {"endTimeUnixNano",
           std::to_string((StartNanos + Finished.Length).count())},
          {"attributes", Attributes},
          {"status", {{"code", Finished.Failed ? 2 : 1}}}};
}

} // namespace

std::optional<wire::TraceContext> parseTraceParent(std::string_view Header) {
  if (Header.size() != TraceParentLength || Header.substr(0, 3) != "00-" ||
      Header[35] != '-' || Header[52] != '-')
    return std::nullopt;

  std::string_view TraceId = Header.substr(3, TraceIdDigits);
  std::string_view SpanId = Header.substr(36, SpanIdDigits);
  std::string_view Flags = Header.substr(53, 2);
  if (!isLowerHex(TraceId) || !isLowerHex(SpanId) || !isLowerHex(Flags) ||
      allZero(TraceId) || allZero(SpanId))
    return std::nullopt;

  bool Sampled = (Flags[1] - '0') % 2 == 1 || Flags[1] == 'b' ||
                 Flags[1] == 'd' || Flags[1] == 'f';
  return wire::TraceContext{std::string(TraceId), std::string(SpanId), Sampled};
}

std::string toTraceParent(const wire::TraceContext &Context) {
  return "00-" + Context.TraceId + "-" + Context.ParentSpanId +
         (Context.Sampled ? "-01" : "-00");
}

wire::TraceContext startTrace(Random &Source, double SampleRate) {
  bool Sampled = Source.unit() < SampleRate;
  return {hexDigits(Source, TraceIdDigits), "", Sampled};
}

std::string newSpanId(Random &Source) {
  return hexDigits(Source, SpanIdDigits);
}

class SpanExporter::Impl {
public:
  Impl(std::string Path, std::string Process)
      : Process(std::move(Process)), Queue(RingCapacity),
        File(Path, std::ios::app), Writer([this] { run(); }) {}

  ~Impl() {
    {
      std::lock_guard Lock(Mutex);
      Stopping = true;
    }
    Wake.notify_one();
    Writer.join();
  }

  void record(Span &Finished) {
    if (!Queue.tryPush(Finished))
      Dropped.fetch_add(1);
  }

  std::size_t dropped() const { return Dropped.load(); }

private:
  void run() {
    std::unique_lock Lock(Mutex);
    while (!Stopping) {
      Wake.wait_for(Lock, FlushInterval);
      Lock.unlock();
      flush();
      Lock.lock();
    }
    flush();
  }

  void flush() {
    nlohmann::json Spans = nlohmann::json::array();
    while (auto Finished = Queue.tryPop()) {
      Spans.push_back(toOtlp(*Finished));
      if (Spans.size() == BatchSize)
        write(Spans);
    }
    if (!Spans.empty())
      write(Spans);
    File.flush();
  }

  void write(nlohmann::json &Spans) {
    nlohmann::json Resource{
        {"attributes",
         {{{"key", "service.name"}, {"value", {{"stringValue", Process}}}}}}};
    nlohmann::json Batch{
        {"resourceSpans",
         {{{"resource", Resource},
           {"scopeSpans",
            {{{"scope", {{"name", "daisyspool"}}}, {"spans", Spans}}}}}}}};
    File << Batch.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
         << '\n';
    Spans = nlohmann::json::array();
  }

  std::string Process;
  Ring<Span> Queue;
  std::ofstream File;
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  std::atomic<std::size_t> Dropped{0};
  std::thread Writer;
};

SpanExporter::SpanExporter(std::string Path, std::string Process) {
  if (!Path.empty())
    State = std::make_unique<Impl>(std::move(Path), std::move(Process));
}

SpanExporter::~SpanExporter() = default;

void SpanExporter::record(Span Finished) {
  if (State && Finished.Context.Sampled)
    State->record(Finished);
}

std::size_t SpanExporter::dropped() const {
  return State ? State->dropped() : 0;
}

} // namespace daisyspool
