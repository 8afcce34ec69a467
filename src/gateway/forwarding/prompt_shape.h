#ifndef GATEWAY_FORWARDING_PROMPT_SHAPE_H_
#define GATEWAY_FORWARDING_PROMPT_SHAPE_H_

#include <cstdint>
#include <vector>

#include "base/base.h"

namespace bamboomount {

// Identifies a part of a prompt by its content.
using PromptPartId = StrongCount<struct PromptPartIdTag, std::uint64_t>;

// A part of a prompt that other requests may share.
struct PromptPart {
  PromptPartId id;
  Tokens tokens;
};

// Size and structure of a prompt for a model engine.
struct PromptShape {
  // Prompt tokens that an engine prefills in the time in which it generates one
  // token.
  static constexpr std::int64_t kPrefillTokensPerGeneratedToken = 300;
  // A generation counts as long if it takes more than this many times the time
  // of the prefill.
  static constexpr std::int64_t kLongAnswerFactor = 30;

  Tokens input;
  // The most tokens that may be generated.
  Tokens output_limit;
  // In order; the last part is specific to this request or its session.
  std::vector<PromptPart> parts;

  bool empty() const { return parts.empty() && input.value() == 0; }
  // Whether generation takes much longer than prefill, as in a live
  // conversation. Prefill of other prompts would repeatedly interrupt such a
  // request.
  bool HasLongAnswer() const {
    return output_limit.value() * kPrefillTokensPerGeneratedToken >
           input.value() * kLongAnswerFactor;
  }
  // Tokens of the parts that other requests may share.
  Tokens SharedTokens() const {
    Tokens shared;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
      shared += parts[i].tokens;
    return shared;
  }
  // Id of the last shared part, which implies all parts before it; 0 if there
  // is none.
  std::uint64_t SharedPrefixId() const {
    return parts.size() < 2 ? 0 : parts[parts.size() - 2].id.value();
  }
};

}  // namespace bamboomount

#endif  // GATEWAY_FORWARDING_PROMPT_SHAPE_H_
