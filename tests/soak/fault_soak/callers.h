#ifndef TESTS_SOAK_FAULT_SOAK_CALLERS_H_
#define TESTS_SOAK_FAULT_SOAK_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

#include "soak/fault_soak/random.h"
#include "soak/fault_soak/soak_fleet.h"

namespace bamboomount::soak {

// Callers that send requests one after the other, each on a thread of its own.
// They keep using an open connection until it is closed.
class Callers {
 public:
  Callers(SoakFleet& fleet, int count, std::uint64_t seed);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  // Waits for the requests on the way and returns all records.
  std::vector<RequestRecord> Stop();

 private:
  void Run(std::uint64_t seed);

  SoakFleet& fleet_;
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::vector<RequestRecord> records_;
};

}  // namespace bamboomount::soak

#endif  // TESTS_SOAK_FAULT_SOAK_CALLERS_H_
