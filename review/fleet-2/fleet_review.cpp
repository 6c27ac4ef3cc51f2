// Plays one case of the review against the processes of the project. Exits with
// 1 if a rule was broken, with 0 if all held, and with 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
#include "Cases.h"

#include <iostream>

int main(int Count, char **Arguments) {
  using namespace daisyspool::review;
  constexpr int ExitNotRun = 2;
  if (Count != 4) {
    std::cerr << "fleet_review CASE FOLDER RECORD\n";
    return ExitNotRun;
  }
  const char *Trouble = std::getenv("TROUBLE");
  bool WithTrouble = !Trouble || std::string(Trouble) != "0";
  try {
    Harness Host(Arguments[2], Arguments[3]);
    return playCase(Host, Arguments[1], WithTrouble);
  } catch (const std::exception &Problem) {
    std::cerr << "fleet_review: " << Problem.what() << '\n';
    return ExitNotRun;
  }
}
