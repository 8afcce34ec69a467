#ifndef SUPPORT_ANSWER_H_
#define SUPPORT_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace standin {

// Returns token `index` (from 0) of the engine's answer to `prompt`: eight
// hexadecimal digits and a space. The token depends on both, so that tests
// which compare complete answers detect a missing or duplicated token and one
// from the answer to another prompt.
std::string AnswerToken(std::string_view prompt, std::int64_t index);

// Returns the first `count` tokens of the answer to `prompt`.
std::string ExpectedAnswer(std::string_view prompt, std::int64_t count);

}  // namespace standin

#endif  // SUPPORT_ANSWER_H_
