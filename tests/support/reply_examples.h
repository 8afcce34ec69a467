#ifndef SUPPORT_REPLY_EXAMPLES_H_
#define SUPPORT_REPLY_EXAMPLES_H_

#include <string>
#include <vector>

namespace bamboomount::support {

// The bytes of a server's answer, after which it closes the connection.
struct ReplyExample {
  std::string name;
  std::string bytes;
};

// Builds answers for one kind of reader.
class ReplyExamples {
 public:
  // `fields` are those that the reader requires, each with its line end; `body`
  // is one that it accepts.
  ReplyExamples(std::string fields, std::string body);

  // Status codes that no final response has, and status lines that are not
  // those of HTTP.
  std::vector<ReplyExample> InvalidStatuses() const;
  // Heads and trailers with a field whose name is not a token, or whose value
  // holds a control byte.
  std::vector<ReplyExample> InvalidFields() const;
  // Heads that break off.
  std::vector<ReplyExample> TruncatedHeads() const;
  // Bodies that end before their length, or before their last chunk.
  std::vector<ReplyExample> TruncatedBodies() const;
  // Complete answers in the ways that HTTP allows.
  std::vector<ReplyExample> SoundReplies() const;

 private:
  std::string LengthField() const;
  // The body as two chunks, without the last chunk.
  std::string Chunks() const;
  // A complete response with the status line `status_line`.
  std::string WithStatusLine(const std::string& status_line) const;

  const std::string fields_;
  const std::string body_;
};

}  // namespace bamboomount::support

#endif  // SUPPORT_REPLY_EXAMPLES_H_
