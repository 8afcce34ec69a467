#include "fuzz/checks.h"

#include <array>

namespace bamboomount::fuzz {
namespace {

struct Check {
  const char* name;
  void (*run)(Choices&);
};

constexpr std::array kChecks{
    Check{"requests", CheckRequests},  Check{"responses", CheckResponses},
    Check{"store", CheckStoreAnswers}, Check{"responses", CheckResponses},
    Check{"events", CheckEvents},      Check{"rows", CheckRows},
    Check{"peers", CheckPeerMessages}};

}  // namespace

void CheckInput(std::string_view input) {
  Choices choices(input);
  kChecks[choices.Below(kChecks.size())].run(choices);
}

std::string CheckName(std::string_view input) {
  return kChecks[Choices(input).Below(kChecks.size())].name;
}

}  // namespace bamboomount::fuzz
