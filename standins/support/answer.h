#ifndef SUPPORT_ANSWER_H_
#define SUPPORT_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace standin {

// Token `index` of the engine's answer to `prompt`: eight hexadecimal digits
// and a space. Tests compare whole answers with it, so a missing, repeated or
// foreign token shows.
std::string AnswerToken(std::string_view prompt, std::int64_t index);

// The first `count` tokens of the answer.
std::string ExpectedAnswer(std::string_view prompt, std::int64_t count);

}  // namespace standin

#endif  // SUPPORT_ANSWER_H_
