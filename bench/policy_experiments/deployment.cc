#include "deployment.h"

namespace bamboomount {
namespace {

constexpr int kSlots = 8;

std::vector<CellBackend> MakeEngines(const std::vector<std::string>& zones,
                                     int firm,
                                     int cheap) {
  std::vector<CellBackend> engines;
  for (int i = 0; i < firm + cheap; ++i) {
    const bool is_cheap = i >= firm;
    // All cheap ones are in the last two zones.
    const std::size_t zone = is_cheap
                                 ? zones.size() - 1 - i % 2
                                 : static_cast<std::size_t>(i) % zones.size();
    engines.push_back({BackendId("engine" + std::to_string(i)),
                       ZoneId(zones[zone]), is_cheap, kSlots});
  }
  return engines;
}

}  // namespace

std::vector<Deployment> Deployments() {
  Deployment futternetz{
      "futternetz",
      MakeEngines({"bern-a", "bern-b", "luzern-a", "zug-a"}, 6, 4),
      {{"chat", 0, Millis(1000), 100, 9, 300, 80},
       {"label", 1, Millis(2000), 60, 4, 400, 150},
       {"ration", 2, Millis(60000), 200, 0.7, 2000, 900}},
      {4, 3, 1, 1, 1, 1, 1, 1, 1, 1}};
  Deployment commission{"commission",
                        MakeEngines({"be-a", "be-b", "be-c"}, 10, 10),
                        {{"brief", 0, Millis(2000), 100, 9, 600, 200},
                         {"wording", 1, Millis(5000), 100, 6, 300, 150},
                         {"panel", 2, Millis(60000), 300, 1.5, 1500, 700}},
                        {5, 3, 1, 1, 1, 1, 1, 1, 1, 1}};
  return {futternetz, commission};
}

}  // namespace bamboomount
