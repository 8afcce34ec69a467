#include "support/answer.h"

#include <xxhash.h>

#include <cstdio>

namespace standin {

std::string AnswerToken(std::string_view prompt, std::int64_t index) {
  const XXH64_hash_t hash =
      XXH64(prompt.data(), prompt.size(), static_cast<XXH64_hash_t>(index));
  char text[10];
  std::snprintf(text, sizeof text, "%08x ",
                static_cast<unsigned>(hash & 0xffffffffU));
  return std::string(text, 9);
}

std::string ExpectedAnswer(std::string_view prompt, std::int64_t count) {
  std::string answer;
  for (std::int64_t index = 0; index < count; ++index) {
    answer += AnswerToken(prompt, index);
  }
  return answer;
}

}  // namespace standin
