#include "peer/message_codec.h"

#include <cmath>
#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <stdexcept>
#include <type_traits>
#include <utility>

namespace bamboomount {
namespace {

constexpr std::uint32_t kFormatVersion = 1;
// Ids and addresses are far shorter; the bound keeps a faulty sender from
// filling the receiver's tables with large keys.
constexpr std::size_t kMaxIdBytes = 512;
constexpr std::size_t kMaxListLength = 65536;
// [version, kind, sender, [[list of [fields]]]] needs 7 levels.
constexpr std::size_t kMaxDepth = 16;

class MalformedMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Lists the fields of a message in wire order. `visit` takes them all at once.
template <typename Visit>
void VisitFields(Visit&& visit, RosterEntry& v) {
  visit(v.instance, v.peer_address, v.incarnation, v.heartbeat, v.state,
        v.sequence, v.withdrawals_digest, v.liveness_age);
}
template <typename Visit>
void VisitFields(Visit&& visit, HeartbeatMessage& v) {
  visit(v.self, v.echo, v.echo_incarnation, v.reply_wanted, v.confirmation_age,
        v.sample);
}
template <typename Visit>
void VisitFields(Visit&& visit, EncodedChange& v) {
  visit(v.sequence, v.text);
}
template <typename Visit>
void VisitFields(Visit&& visit, ChangePushMessage& v) {
  visit(v.changes);
}
template <typename Visit>
void VisitFields(Visit&& visit, ChangeFetchMessage& v) {
  visit(v.after);
}
template <typename Visit>
void VisitFields(Visit&& visit, EmergencyWithdrawalMessage& v) {
  visit(v.keys);
}
template <typename Visit>
void VisitFields(Visit&& visit, EmergencyFetchMessage& /*v*/) {
  visit();
}
template <typename Visit>
void VisitFields(Visit&& visit, SlotRequest& v) {
  visit(v.request, v.class_id, v.tier, v.customer, v.share, v.queue_limit,
        v.first_token_target, v.prompt_tokens, v.max_output_tokens,
        v.prefix_hash, v.entry_zone, v.excluded);
}
template <typename Visit>
void VisitFields(Visit&& visit, SlotOutcome& v) {
  visit(v.end, v.output_tokens, v.time_to_first_token, v.generation_time);
}
template <typename Visit>
void VisitFields(Visit&& visit, SlotRequestMessage& v) {
  visit(v.cell, v.attempt, v.request);
}
template <typename Visit>
void VisitFields(Visit&& visit, SlotAcceptedMessage& v) {
  visit(v.cell, v.attempt, v.request);
}
template <typename Visit>
void VisitFields(Visit&& visit, SlotGrantMessage& v) {
  visit(v.cell, v.attempt, v.request, v.backend);
}
template <typename Visit>
void VisitFields(Visit&& visit, SlotRefusalMessage& v) {
  visit(v.cell, v.attempt, v.request, v.not_owner, v.reason, v.retry_after);
}
template <typename Visit>
void VisitFields(Visit&& visit, SlotReleaseMessage& v) {
  visit(v.cell, v.attempt, v.request, v.outcome);
}
template <typename Visit>
void VisitFields(Visit&& visit, SlotCancelMessage& v) {
  visit(v.cell, v.attempt, v.request);
}
template <typename Visit>
void VisitFields(Visit&& visit, SlotProgress& v) {
  visit(v.cell, v.attempt, v.request, v.generated);
}
template <typename Visit>
void VisitFields(Visit&& visit, SlotProgressMessage& v) {
  visit(v.slots);
}
template <typename Visit>
void VisitFields(Visit&& visit, RunningSlot& v) {
  visit(v.attempt, v.request, v.backend, v.generated);
}
template <typename Visit>
void VisitFields(Visit&& visit, WaitingSlot& v) {
  visit(v.attempt, v.request);
}
template <typename Visit>
void VisitFields(Visit&& visit, CellReportMessage& v) {
  visit(v.cell, v.owner, v.running, v.waiting);
}
template <typename Visit>
void VisitFields(Visit&& visit, CellReportAcceptedMessage& v) {
  visit(v.cell, v.owner);
}
template <typename Visit>
void VisitFields(Visit&& visit, CellReportRequestMessage& v) {
  visit(v.cell, v.owner);
}
template <typename Visit>
void VisitFields(Visit&& visit, LeavingMessage& v) {
  visit(v.incarnation);
}

// Highest value of each enumeration that travels.
constexpr PeerState MaxEnumValue(PeerState /*unused*/) {
  return PeerState::kRemoved;
}
constexpr SlotEnd MaxEnumValue(SlotEnd /*unused*/) {
  return SlotEnd::kBackendFailed;
}
constexpr ErrorCode MaxEnumValue(ErrorCode /*unused*/) {
  return ErrorCode::kInternal;
}

class Writer {
 public:
  explicit Writer(msgpack::sbuffer& buffer) : packer_(buffer) {}

  msgpack::packer<msgpack::sbuffer>& packer() { return packer_; }

  void Write(const std::string& value) { packer_.pack(value); }
  void Write(bool value) { packer_.pack(value); }
  void Write(int value) { packer_.pack(value); }
  void Write(double value) { packer_.pack(value); }
  void Write(std::uint64_t value) { packer_.pack(value); }
  void Write(Millis value) {
    packer_.pack(static_cast<std::int64_t>(value.count()));
  }
  template <typename Tag>
  void Write(const StrongId<Tag>& value) {
    packer_.pack(value.value());
  }
  template <typename Tag, typename Rep>
  void Write(StrongCount<Tag, Rep> value) {
    packer_.pack(value.value());
  }
  template <typename T>
  void Write(const std::optional<T>& value) {
    if (!value) {
      packer_.pack_nil();
      return;
    }
    Write(*value);
  }
  template <typename T>
  void Write(const std::vector<T>& values) {
    WriteAll(values);
  }
  template <typename T>
  void Write(const std::set<T>& values) {
    WriteAll(values);
  }
  template <typename T>
  requires std::is_enum_v<T>
  void Write(T value) { packer_.pack(static_cast<int>(value)); }
  template <typename T>
  requires std::is_aggregate_v<T>
  void Write(const T& value) {
    // VisitFields() serves reading as well and therefore takes a mutable
    // reference; writing does not change it.
    VisitFields(
        [this](auto&... fields) {
          packer_.pack_array(sizeof...(fields));
          (Write(fields), ...);
        },
        const_cast<T&>(value));
  }

 private:
  template <typename Range>
  void WriteAll(const Range& values) {
    packer_.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const auto& value : values)
      Write(value);
  }

  msgpack::packer<msgpack::sbuffer> packer_;
};

template <typename Int>
Int ReadInteger(const msgpack::object& object) {
  if (object.type != msgpack::type::POSITIVE_INTEGER &&
      object.type != msgpack::type::NEGATIVE_INTEGER) {
    throw MalformedMessage("expected an integer");
  }
  return object.as<Int>();
}

const msgpack::object_array& ReadArray(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY)
    throw MalformedMessage("expected an array");
  return object.via.array;
}

void Read(const msgpack::object& object, std::string& value) {
  value = object.as<std::string>();
}
void Read(const msgpack::object& object, bool& value) {
  value = object.as<bool>();
}
void Read(const msgpack::object& object, int& value) {
  value = ReadInteger<int>(object);
  if (value < 0)
    throw MalformedMessage("negative number");
}
void Read(const msgpack::object& object, double& value) {
  value = object.as<double>();
  if (!std::isfinite(value) || value < 0)
    throw MalformedMessage("number out of range");
}
void Read(const msgpack::object& object, std::uint64_t& value) {
  value = ReadInteger<std::uint64_t>(object);
}
void Read(const msgpack::object& object, Millis& value) {
  // Sums of a time point and a larger value would overflow.
  constexpr std::int64_t kMaxMillis = std::int64_t{1} << 40;
  const auto count = ReadInteger<std::int64_t>(object);
  if (count < 0 || count > kMaxMillis)
    throw MalformedMessage("duration out of range");
  value = Millis(count);
}
template <typename Tag>
void Read(const msgpack::object& object, StrongId<Tag>& value) {
  auto text = object.as<std::string>();
  if (text.size() > kMaxIdBytes)
    throw MalformedMessage("identifier too long");
  value = StrongId<Tag>(std::move(text));
}
template <typename Tag, typename Rep>
void Read(const msgpack::object& object, StrongCount<Tag, Rep>& value) {
  const auto count = ReadInteger<Rep>(object);
  if constexpr (std::is_signed_v<Rep>) {
    if (count < 0)
      throw MalformedMessage("negative count");
  }
  value = StrongCount<Tag, Rep>(count);
}
template <typename T>
requires std::is_enum_v<T>
void Read(const msgpack::object& object, T& value) {
  const auto number = ReadInteger<int>(object);
  if (number < 0 || number > static_cast<int>(MaxEnumValue(T{})))
    throw MalformedMessage("unknown enumeration value");
  value = static_cast<T>(number);
}
template <typename T>
requires std::is_aggregate_v<T>
void Read(const msgpack::object& object, T& value);
template <typename T>
void Read(const msgpack::object& object, std::optional<T>& value) {
  if (object.type == msgpack::type::NIL) {
    value.reset();
    return;
  }
  Read(object, value.emplace());
}
template <typename T>
void Read(const msgpack::object& object, std::vector<T>& values) {
  const auto& array = ReadArray(object);
  values.clear();
  for (std::uint32_t i = 0; i < array.size; ++i)
    Read(array.ptr[i], values.emplace_back());
}
template <typename T>
void Read(const msgpack::object& object, std::set<T>& values) {
  const auto& array = ReadArray(object);
  values.clear();
  for (std::uint32_t i = 0; i < array.size; ++i) {
    T value;
    Read(array.ptr[i], value);
    values.insert(std::move(value));
  }
}
template <typename T>
requires std::is_aggregate_v<T>
void Read(const msgpack::object& object, T& value) {
  const auto& array = ReadArray(object);
  VisitFields(
      [&array](auto&... fields) {
        if (array.size < sizeof...(fields))
          throw MalformedMessage("missing fields");
        [[maybe_unused]] std::uint32_t index = 0;
        (Read(array.ptr[index++], fields), ...);
      },
      value);
}

template <std::size_t kIndex = 0>
PeerMessage ReadKind(std::size_t kind, const msgpack::object& body) {
  if constexpr (kIndex == std::variant_size_v<PeerMessage>) {
    throw MalformedMessage("unknown kind of message");
  } else {
    if (kind != kIndex)
      return ReadKind<kIndex + 1>(kind, body);
    std::variant_alternative_t<kIndex, PeerMessage> message;
    Read(body, message);
    return message;
  }
}

DecodedMessage ReadEnvelope(const msgpack::object& object) {
  const auto& envelope = ReadArray(object);
  if (envelope.size < 4)
    throw MalformedMessage("missing fields");
  if (ReadInteger<std::uint32_t>(envelope.ptr[0]) != kFormatVersion)
    throw MalformedMessage("unknown format version");
  DecodedMessage result;
  Read(envelope.ptr[2], result.sender);
  if (result.sender.empty())
    throw MalformedMessage("no sender");
  result.message =
      ReadKind(ReadInteger<std::uint32_t>(envelope.ptr[1]), envelope.ptr[3]);
  return result;
}

Error MalformedMessageError(const std::string& detail) {
  return {ErrorCode::kBadRequest,
          RunVerdict::kNotRun,
          "malformed peer message: " + detail,
          {}};
}

}  // namespace

std::string EncodeMessage(const InstanceId& sender,
                          const PeerMessage& message) {
  msgpack::sbuffer buffer;
  Writer writer(buffer);
  writer.packer().pack_array(4);
  writer.packer().pack(kFormatVersion);
  writer.packer().pack(static_cast<std::uint32_t>(message.index()));
  writer.Write(sender);
  std::visit([&writer](const auto& body) { writer.Write(body); }, message);
  return {buffer.data(), buffer.size()};
}

Result<DecodedMessage> DecodeMessage(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes)
    return MalformedMessageError("too large");
  try {
    std::size_t offset = 0;
    const msgpack::unpack_limit limit(kMaxListLength, 0, kMaxMessageBytes, 0, 0,
                                      kMaxDepth);
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size())
      return MalformedMessageError("trailing bytes");
    return ReadEnvelope(handle.get());
  } catch (const std::exception& error) {
    // msgpack reports every fault by exception: parse_error, size_overflow,
    // type_error (a std::bad_cast).
    return MalformedMessageError(error.what());
  }
}

}  // namespace bamboomount
