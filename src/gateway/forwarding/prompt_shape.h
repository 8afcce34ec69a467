#ifndef GATEWAY_FORWARDING_PROMPT_SHAPE_H_
#define GATEWAY_FORWARDING_PROMPT_SHAPE_H_

#include <cstdint>
#include <vector>

#include "base/base.h"

namespace bamboomount {

// A part of a prompt that other requests may have in common.
struct PromptPart {
  std::uint64_t id = 0;
  Tokens tokens;
};

// What a request asks of a model engine.
struct PromptShape {
  // Prompt tokens that an engine reads in the time of one generated token.
  static constexpr std::int64_t kPrefillTokensPerGeneratedToken = 300;
  static constexpr std::int64_t kLongAnswerFactor = 30;

  Tokens input;
  // The most tokens that may be generated.
  Tokens output_limit;
  // In order; the last part belongs to this request or its session alone.
  std::vector<PromptPart> parts;

  bool empty() const { return parts.empty() && input.value() == 0; }
  // Whether generating takes much longer than reading: a live conversation,
  // which the reading of other prompts would interrupt again and again.
  bool HasLongAnswer() const {
    return output_limit.value() * kPrefillTokensPerGeneratedToken >
           input.value() * kLongAnswerFactor;
  }
  // Tokens of the parts that other requests may have in common.
  Tokens SharedTokens() const {
    Tokens shared;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
      shared += parts[i].tokens;
    return shared;
  }
  // The last shared part, which implies all parts before it; 0 if there is
  // none.
  std::uint64_t SharedPrefixId() const {
    return parts.size() < 2 ? 0 : parts[parts.size() - 2].id;
  }
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_PROMPT_SHAPE_H_
