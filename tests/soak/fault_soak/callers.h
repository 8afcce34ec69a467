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

// Simulates callers, each on its own thread, that send one request after the
// other. A caller usually reuses its open connection, and otherwise connects to
// a randomly chosen process.
class Callers {
 public:
  // Starts `count` callers. `fleet` must outlive this object.
  Callers(SoakFleet& fleet, int count, std::uint64_t seed);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  // Stops sending, waits for the requests in flight and returns the records of
  // all requests.
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
