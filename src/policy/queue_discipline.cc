#include "policy/queue_discipline.h"

#include <array>
#include <stdexcept>

namespace bamboomount {
namespace {

constexpr std::array kDisciplines = {
    QueueDiscipline{"weighted_tiers", true, true, true, true},
    QueueDiscipline{"strict_priority", true, false, false, false},
    QueueDiscipline{"first_come", false, false, false, false},
};

}  // namespace

const QueueDiscipline& FindQueueDiscipline(std::string_view name) {
  for (const QueueDiscipline& discipline : kDisciplines) {
    if (discipline.name == name)
      return discipline;
  }
  throw std::invalid_argument("unknown queue discipline: " + std::string(name));
}

std::vector<std::string> QueueDisciplineNames() {
  std::vector<std::string> names;
  names.reserve(kDisciplines.size());
  for (const QueueDiscipline& discipline : kDisciplines)
    names.emplace_back(discipline.name);
  return names;
}

}  // namespace bamboomount
