#ifndef FUZZ_CHECKS_H_
#define FUZZ_CHECKS_H_

#include <stdexcept>
#include <string>
#include <string_view>

#include "fuzz/choices.h"

namespace bamboomount::fuzz {

// A property that does not hold for an input.
class Violation : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Each check generates what one kind of sender sends, gives it to the code that
// receives it and throws a Violation if a property is broken.

// Requests on one connection of a caller, read by CallerConnection.
void CheckRequests(Choices& choices);
// Responses on one connection of a server, read by BackendAttempt.
void CheckResponses(Choices& choices);
// A stream of events of a server, and the head that resumes it.
void CheckEvents(Choices& choices);
// A row of a server and a configuration, as another writer may write them.
void CheckRows(Choices& choices);
// Answers of the store, read by HttpTableStore.
void CheckStoreAnswers(Choices& choices);
// Datagrams and rows of other instances.
void CheckPeerMessages(Choices& choices);

// A datagram as another instance may send it, sound or spoilt.
std::string GeneratePeerDatagram(Choices& choices);

// Runs the check that the first byte of `input` selects on the rest.
void CheckInput(std::string_view input);
// The name of that check.
std::string CheckName(std::string_view input);

}  // namespace bamboomount::fuzz

#endif  // FUZZ_CHECKS_H_
