#ifndef DAISYSPOOL_TESTS_SIM_SEQUENCES_H
#define DAISYSPOOL_TESTS_SIM_SEQUENCES_H

#include "sim/World.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <sstream>

namespace daisyspool::sim {

/// The model has no state; the oracle of the simulation keeps it.
struct NoModel {};

/// Two to four operations at once, followed by a span of simulated time.
class Step final : public rc::state::Command<NoModel, World> {
public:
  Step()
      : Ops(*rc::gen::resize(
            100, rc::gen::mapcat(rc::gen::inRange(2, 5),
                                 [](int Count) {
                                   return rc::gen::container<std::vector<Op>>(
                                       static_cast<std::size_t>(Count),
                                       anyOp());
                                 }))),
        Length(*rc::gen::element(50, 300, 1000, 3000, 7000, 12'000)) {}

  void run(const NoModel &, World &System) const override {
    for (const Op &Each : Ops)
      System.apply(Each);
    System.run(Millis(Length));
    if (!System.violation().empty())
      RC_FAIL(System.violation());
  }

  void show(std::ostream &Out) const override {
    for (const Op &Each : Ops)
      Out << toString(Each.Kind) << '(' << Each.A << ',' << Each.B << ") ";
    Out << "then " << Length << " ms";
  }

private:
  static rc::Gen<Op> anyOp() {
    // The draws above the number of kinds, about a third, become operations of
    // callers, so that the faults affect running work.
    auto Kind = rc::gen::map(rc::gen::inRange(0, 36), [](int Drawn) {
      constexpr int Kinds = static_cast<int>(OpKind::Count);
      return static_cast<OpKind>(Drawn < Kinds ? Drawn : Drawn % 6);
    });
    return rc::gen::construct<Op>(Kind, rc::gen::inRange(0U, 64U),
                                  rc::gen::inRange(0U, 128U));
  }

  std::vector<Op> Ops;
  int Length;
};

struct SequencesResult {
  bool Passed = false;
  std::string Message;
};

/// Runs \p Count random sequences of the given seed. On a violation the message
/// holds the shrunk sequence.
inline SequencesResult runSequences(std::uint64_t Seed, int Count) {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = Count;
  Params.maxSize = 30;
  const auto Property = [](std::uint64_t WorldSeed) {
    World System(WorldSeed);
    System.run(Millis(1000));
    rc::state::check(NoModel{}, System,
                     rc::state::gen::execOneOfWithArgs<Step>());
    System.finish();
    if (!System.violation().empty())
      RC_FAIL(System.violation());
  };
  const rc::detail::TestResult Result =
      rc::detail::checkTestable(Property, rc::detail::TestMetadata(), Params);

  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  return {Result.template is<rc::detail::SuccessResult>(), Text.str()};
}

} // namespace daisyspool::sim

#endif // DAISYSPOOL_TESTS_SIM_SEQUENCES_H
