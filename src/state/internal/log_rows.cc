#include "state/internal/log_rows.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace bamboomount::internal {
namespace {

using Json = nlohmann::json;

// Digits of the largest 64-bit number.
constexpr std::size_t kMaxDecimalDigits = 20;

std::string ZeroPadded(std::uint64_t number) {
  const std::string digits = std::to_string(number);
  return std::string(kMaxDecimalDigits - digits.size(), '0') + digits;
}

Error DamagedRowError(const std::string& key) {
  return {ErrorCode::kInternal,
          RunVerdict::kNotRun,
          "row " + key + " is damaged",
          {}};
}

std::string EncodeConfigVersionEntry(const ConfigVersionEntry& entry) {
  return Json{{"version", entry.version.value()},
              {"base", entry.base.value()},
              {"sequence", entry.sequence.value()},
              {"author", entry.author},
              {"unix_seconds", entry.unix_seconds}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ConfigVersionEntry> DecodeConfigVersionEntry(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    return ConfigVersionEntry{
        ConfigVersion(json.at("version").get<std::uint64_t>()),
        ConfigVersion(json.at("base").get<std::uint64_t>()),
        ChangeSequence(json.at("sequence").get<std::uint64_t>()),
        json.at("author").get<std::string>(),
        json.at("unix_seconds").get<std::int64_t>()};
  } catch (const Json::exception&) {
    return DamagedRowError(kConfigPrefix);
  }
}

}  // namespace

std::string ChangeKey(ChangeSequence sequence) {
  return "change/" + ZeroPadded(sequence.value());
}

std::string ConfigKey(ConfigVersion version) {
  return kConfigPrefix + ZeroPadded(version.value());
}

Result<Head> ReadHead(TableStore& table, Millis timeout) {
  BOOST_OUTCOME_TRY(row, table.Read(kHeadKey, timeout));
  if (!row)
    return Head{};
  std::uint64_t sequence = 0;
  const char* end = row->value.data() + row->value.size();
  const auto [stop, error] = std::from_chars(row->value.data(), end, sequence);
  if (error != std::errc() || stop != end)
    return DamagedRowError(kHeadKey);
  return Head{ChangeSequence(sequence), row->version};
}

Result<Change> ReadChange(TableStore& table,
                          ChangeSequence sequence,
                          Millis timeout) {
  const std::string key = ChangeKey(sequence);
  BOOST_OUTCOME_TRY(row, table.Read(key, timeout));
  if (!row)
    return Error{ErrorCode::kNotFound,
                 RunVerdict::kNotRun,
                 "the log has no change " + std::to_string(sequence.value()),
                 {}};
  BOOST_OUTCOME_TRY(change, DecodeChange(row->value));
  if (change.sequence != sequence)
    return DamagedRowError(key);
  return change;
}

Result<ConfigVersionEntry> ReadConfigVersionEntry(TableStore& table,
                                                  ConfigVersion version,
                                                  Millis timeout) {
  BOOST_OUTCOME_TRY(row, table.Read(ConfigKey(version), timeout));
  if (!row)
    return Error{ErrorCode::kNotFound,
                 RunVerdict::kNotRun,
                 "there is no version " + std::to_string(version.value()),
                 {}};
  return DecodeConfigVersionEntry(row->value);
}

Transaction AppendTransaction(const Head& head, const Change& change) {
  Transaction transaction;
  transaction.Expect(kHeadKey, head.row_version)
      .ExpectAbsent(ChangeKey(change.sequence))
      .Put(kHeadKey, std::to_string(change.sequence.value()))
      .Put(ChangeKey(change.sequence), EncodeChange(change));
  if (const auto* config = std::get_if<ConfigApplied>(&change.body))
    transaction.Put(ConfigKey(config->version),
                    EncodeConfigVersionEntry({config->version, config->base,
                                              change.sequence, change.author,
                                              change.unix_seconds}));
  return transaction;
}

}  // namespace bamboomount::internal
