#ifndef FUZZ_INSTANCE_INSTANCE_FUZZER_H_
#define FUZZ_INSTANCE_INSTANCE_FUZZER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "entry_fixture/entry_fleet.h"
#include "fuzz/choices.h"
#include "fuzz/strict_http_reader.h"

namespace bamboomount::fuzz {

// A process of the entry instance between stand-ins. Each input is what one of
// them sends: a caller, a server, a writer of the store or another instance.
//
// Properties: the process lives, within its memory and descriptors; the servers
// run only requests that the strict reader finds in what callers sent,
// unchanged, and work that may run once at most once; each answer is that to
// the request in its place; a refusal that callers take for "not run" is true;
// an ordinary request is served after each input. Throws a Violation if one is
// broken.
class InstanceFuzzer {
 public:
  InstanceFuzzer();

  void Try(const std::string& input);
  // Inputs by sender.
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }

 private:
  void SendAsCaller(Choices& choices);
  void SendAsServer(Choices& choices);
  void WriteAsOther(Choices& choices);
  void SendAsPeer(Choices& choices);
  std::string NextId();
  // The fields of a request that the instance accepts.
  std::string Fields(const std::string& id) const;
  std::vector<std::string> RecordSent(std::string_view bytes);
  void CheckAnswers(std::string_view received,
                    const std::vector<std::string>& ids);
  void CheckArrivals();
  void CheckProcess();
  // Whether a request ran at a server.
  bool HasRun(const std::string& id);

  entry_test::EntryFleet fleet_;
  std::vector<entry_test::BackendStandin*> servers_;
  entry_test::EntryInstance* instance_ = nullptr;
  std::string peer_address_;
  std::uint64_t next_id_ = 0;
  int config_version_ = 1;
  // Requests that were sent, by id. Damage may have given two the same id.
  std::map<std::string, std::vector<StrictMessage>> sent_;
  // Arrivals at each server that were checked.
  std::vector<std::size_t> checked_;
  std::map<std::string, std::size_t> runs_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace bamboomount::fuzz

#endif  // FUZZ_INSTANCE_INSTANCE_FUZZER_H_
