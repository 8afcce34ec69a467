#include "gateway/streams/peer_stream_origins.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <set>
#include <string>

namespace bamboomount {
namespace {

const PoolId kPool("engines");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");
const RequestId kStream("stream-1");
constexpr Millis kUp = StreamOriginTable::kStreamLifetime + Millis(1000);

InstanceSettings Settings(const std::string& name) {
  InstanceSettings settings;
  settings.instance = InstanceId(name);
  return settings;
}

Member MemberOf(const InstanceId& instance) {
  Member member;
  member.instance = instance;
  member.incarnation = Incarnation(instance.value() + "-1");
  member.peer_address = "127.0.0.1:1";
  return member;
}

// Instances that exchange messages in memory, where each may be lost.
class Fleet {
 public:
  struct Instance {
    Instance(Fleet& fleet, const std::string& name)
        : state(Settings(name)),
          origins(fleet.context_,
                  state,
                  [this, &fleet](const Member& target,
                                 const StreamOriginMessage& message) {
                    fleet.Deliver(*this, target.instance, message);
                  }) {}

    const InstanceId& id() const { return state.settings().instance; }
    // Lists servers of the versions, after the given time of which nothing is
    // missing.
    void List(std::set<SoftwareVersion> versions, Millis up) {
      const Instant now = BootClock::now();
      state.pool_versions().RecordGap(now - up);
      state.pool_versions().SetListed({{kPool, std::move(versions)}}, now);
      state.backend_freshness().RecordStoreTime(now, Millis(1000));
      state.backend_freshness().Confirm(now, Millis(1000));
    }
    // Confirms the list as it is now.
    void ConfirmList() {
      state.pool_versions().RecordConfirmed(BootClock::now());
    }

    GatewayState state;
    PeerStreamOrigins origins;
    // Whether the list is confirmed as time passes.
    bool reaches_store = true;
  };

  explicit Fleet(int size) {
    for (int i = 0; i < size; ++i)
      instances_.emplace_back(*this, "i-" + std::to_string(i));
    for (Instance& instance : instances_) {
      for (const Instance& other : instances_)
        instance.state.members().Update(MemberOf(other.id()), RowVersion(1),
                                        BootClock::now());
    }
  }

  Instance& operator[](std::size_t index) { return instances_[index]; }
  std::deque<Instance>& all() { return instances_; }
  void Kill(const Instance& instance) { dead_.insert(instance.id()); }
  // The answer to a query, of which there must be exactly one.
  std::optional<StreamOrigin> Find(Instance& instance,
                                   const RequestId& stream = kStream,
                                   const PoolId& pool = kPool) {
    int answers = 0;
    std::optional<StreamOrigin> found;
    instance.origins.Find(stream, pool, [&](const auto& origin) {
      ++answers;
      found = origin;
    });
    asio::steady_timer confirmation(context_, kConfirmedAfter);
    confirmation.async_wait([this](const error_code&) { ConfirmLists(); });
    Run();
    BOOST_TEST(answers == 1);
    return found;
  }
  void Run() {
    context_.restart();
    context_.run();
  }
  // Runs for at least `time`, also if there is nothing to do.
  void RunFor(Millis time) {
    asio::steady_timer timer(context_, time);
    timer.async_wait([](const error_code&) {});
    Run();
  }

 private:
  // Time after a query at which the store confirms the lists.
  static constexpr Millis kConfirmedAfter{10};

  void ConfirmLists() {
    for (Instance& instance : instances_) {
      if (instance.reaches_store && !dead_.contains(instance.id()))
        instance.ConfirmList();
    }
  }
  void Deliver(const Instance& sender,
               const InstanceId& target,
               const StreamOriginMessage& message) {
    const auto bytes = EncodeStreamOriginMessage(message);
    BOOST_TEST(IsStreamOriginMessage(bytes.data(), bytes.size()));
    asio::post(context_, [this, bytes, from = sender.id(), target] {
      if (dead_.contains(from) || dead_.contains(target))
        return;
      for (Instance& instance : instances_) {
        if (instance.id() == target)
          instance.origins.OnMessage(
              DecodeStreamOriginMessage(bytes.data(), bytes.size()).value(),
              MemberOf(from));
      }
    });
  }

  asio::io_context context_;
  std::deque<Instance> instances_;
  std::set<InstanceId> dead_;
};

std::shared_ptr<const TrafficPolicy> PolicyWithPool() {
  Pool pool;
  pool.id = kPool;
  return TrafficPolicy::Builder(ConfigVersion(1)).AddPool(pool).Build();
}

BOOST_AUTO_TEST_SUITE(peer_stream_origins)

// Guards against refused resumes of streams whose instance has failed while two
// versions serve.
BOOST_AUTO_TEST_CASE(a_stream_is_known_after_its_instance_has_failed) {
  Fleet fleet(20);
  for (Fleet::Instance& instance : fleet.all())
    instance.List({kOld, kNew}, kUp);
  fleet[0].origins.Record(kStream, {kPool, kOld});
  fleet.Run();
  fleet.Kill(fleet[0]);
  for (std::size_t i = 1; i < fleet.all().size(); ++i)
    BOOST_TEST((fleet.Find(fleet[i]) == StreamOrigin{kPool, kOld}));
}

// Guards against a resume that is joined because nobody knows of its stream.
BOOST_AUTO_TEST_CASE(a_stream_that_nobody_knows_is_not_located) {
  Fleet fleet(4);
  for (Fleet::Instance& instance : fleet.all())
    instance.List({kOld, kNew}, kUp);
  BOOST_TEST(!fleet.Find(fleet[0]).has_value());
  BOOST_TEST(!fleet.Find(fleet[1], RequestId()).has_value());
}

// Guards against an instance that takes the only version it sees for the one of
// the stream, when all have just started and nobody knows better.
BOOST_AUTO_TEST_CASE(instances_that_have_just_started_assume_nothing) {
  Fleet fleet(4);
  for (Fleet::Instance& instance : fleet.all())
    instance.List({kNew}, Millis(1000));
  BOOST_TEST(!fleet.Find(fleet[0]).has_value());
}

// Guards against refused resumes at an instance that has just started, though
// the others know that the pool has had one version only.
BOOST_AUTO_TEST_CASE(an_instance_that_has_just_started_asks_the_others) {
  Fleet fleet(4);
  fleet[0].List({kOld}, PoolVersionHistory::kMaxUnconfirmed + Millis(500));
  for (std::size_t i = 1; i < 4; ++i)
    fleet[i].List({kOld}, kUp);
  BOOST_TEST((fleet.Find(fleet[0]) == StreamOrigin{kPool, kOld}));
}

// Guards against an instance that has not heard of a new version yet: one that
// has, and may have begun the stream there, overrules it.
BOOST_AUTO_TEST_CASE(an_instance_that_knows_of_two_versions_overrules_others) {
  Fleet fleet(3);
  fleet[0].List({kOld}, kUp);
  fleet[1].List({kOld}, kUp);
  fleet[2].List({kOld, kNew}, kUp);
  BOOST_TEST(!fleet.Find(fleet[0]).has_value());
}

// Guards against a stream of two versions at an instance that was cut off from
// the store and from the others, or stood still, for less time than its list of
// servers is relied on: a server of a new version has joined meanwhile, and the
// silence of those that know its streams was taken for "unknown to all".
BOOST_AUTO_TEST_CASE(an_instance_that_is_cut_off_assumes_nothing) {
  Fleet fleet(6);
  fleet[0].List({kOld}, kUp);
  fleet[0].reaches_store = false;
  for (std::size_t i = 1; i < fleet.all().size(); ++i) {
    fleet[i].List({kOld, kNew}, kUp);
    fleet.Kill(fleet[i]);
  }
  BOOST_TEST(!fleet.Find(fleet[0]).has_value());
}

// Guards against the same at an instance that reaches others, which have not
// heard of the new version either: all lists are from before the stream.
BOOST_AUTO_TEST_CASE(instances_that_are_cut_off_together_assume_nothing) {
  Fleet fleet(3);
  for (Fleet::Instance& instance : fleet.all()) {
    instance.List({kOld}, kUp);
    instance.reaches_store = false;
  }
  BOOST_TEST(!fleet.Find(fleet[0]).has_value());
}

// Guards against an instance that has healed, and takes what others knew before
// for what is true now: a version may have come and left since they heard.
BOOST_AUTO_TEST_CASE(lists_of_others_prove_nothing_of_the_time_since) {
  Fleet fleet(3);
  fleet[0].List({kOld}, PoolVersionHistory::kMaxUnconfirmed - Millis(500));
  for (const std::size_t other : {1U, 2U}) {
    fleet[other].List({kOld}, kUp);
    fleet[other].reaches_store = false;
  }
  BOOST_TEST(!fleet.Find(fleet[0]).has_value());
}

// Guards against callers that an instance which has long been cut off keeps
// waiting for a confirmation of its list.
BOOST_AUTO_TEST_CASE(an_old_list_is_not_waited_for) {
  Fleet fleet(3);
  const Instant now = BootClock::now();
  const Instant cut_at = now - 2 * PoolVersionHistory::kMaxUnconfirmed;
  fleet[0].state.pool_versions().RecordGap(now - 2 * kUp);
  fleet[0].state.pool_versions().SetListed({{kPool, {kOld}}}, cut_at);
  fleet[0].state.ConfirmBackends(cut_at, Millis(1000));
  fleet[0].reaches_store = false;
  fleet.Kill(fleet[1]);
  fleet.Kill(fleet[2]);
  BOOST_TEST(!fleet.Find(fleet[0]).has_value());
  BOOST_TEST((BootClock::now() - now < PeerStreamOrigins::kConfirmWithin / 2));
}

// Guards against refused resumes at an instance that reaches the store, and
// whose list tells that there was one version, while the others are silent.
BOOST_AUTO_TEST_CASE(an_instance_needs_no_others_to_know_of_one_version) {
  for (const int size : {1, 6}) {
    Fleet fleet(size);
    fleet[0].List({kOld}, kUp);
    for (std::size_t i = 1; i < fleet.all().size(); ++i)
      fleet.Kill(fleet[i]);
    BOOST_TEST((fleet.Find(fleet[0]) == StreamOrigin{kPool, kOld}));
  }
}

// Guards against a query without an end when all instances are silent.
BOOST_AUTO_TEST_CASE(silent_instances_end_no_query_twice_or_never) {
  Fleet fleet(3);
  for (Fleet::Instance& instance : fleet.all())
    instance.List({kOld, kNew}, kUp);
  fleet.Kill(fleet[1]);
  fleet.Kill(fleet[2]);
  BOOST_TEST(!fleet.Find(fleet[0]).has_value());
  fleet[0].origins.Record(kStream, {kPool, kOld});
  BOOST_TEST((fleet.Find(fleet[0]) == StreamOrigin{kPool, kOld}));
}

// Guards against streams that began while the pool had one version, and that
// nobody knows once it has two and their instance has failed.
BOOST_AUTO_TEST_CASE(streams_are_copied_when_a_second_version_comes) {
  Fleet fleet(6);
  for (Fleet::Instance& instance : fleet.all()) {
    instance.state.ApplyPolicy(PolicyWithPool());
    instance.List({kOld}, kUp);
  }
  constexpr int kStreams = 40;
  for (int i = 0; i < kStreams; ++i)
    fleet[0].origins.Record(RequestId("s-" + std::to_string(i)), {kPool, kOld});
  for (Fleet::Instance& instance : fleet.all())
    instance.List({kOld, kNew}, kUp);
  fleet.RunFor(PeerStreamOrigins::kGiveUpAfter);
  fleet.Kill(fleet[0]);
  for (int i = 0; i < kStreams; ++i) {
    std::optional<StreamOrigin> found;
    fleet[1].origins.Find(RequestId("s-" + std::to_string(i)), kPool,
                          [&](const auto& origin) { found = origin; });
    fleet.RunFor(2 * PeerStreamOrigins::kGiveUpAfter);
    BOOST_TEST((found == StreamOrigin{kPool, kOld}));
  }
}

// Guards against a reply to an earlier process of the instance, whose queries
// had the same numbers: the origin of its stream was taken for that of another
// one.
BOOST_AUTO_TEST_CASE(a_reply_on_another_stream_is_ignored) {
  Fleet fleet(3);
  for (Fleet::Instance& instance : fleet.all())
    instance.List({kOld, kNew}, kUp);
  StreamOriginMessage late;
  late.kind = StreamOriginMessage::Kind::kReply;
  late.sender = fleet[1].id();
  late.query = 1;
  late.answer = StreamOriginAnswer::kRecorded;
  late.entries.push_back({RequestId("another"), {kPool, kNew}});
  std::optional<StreamOrigin> found;
  fleet[0].origins.Find(kStream, kPool,
                        [&](const auto& origin) { found = origin; });
  fleet[0].origins.OnMessage(late, MemberOf(fleet[1].id()));
  fleet.Run();
  BOOST_TEST(!found.has_value());
}

// Guards against refused resumes on a route to several services: an instance
// that has one version in each copied no streams, and no other could tell in
// which service a stream had begun.
BOOST_AUTO_TEST_CASE(a_stream_of_a_route_with_several_pools_is_known) {
  Fleet fleet(20);
  for (Fleet::Instance& instance : fleet.all())
    instance.List({kOld}, kUp);
  fleet[0].origins.Record(kStream, {kPool, kOld});
  fleet.Run();
  for (std::size_t i = 1; i < fleet.all().size(); ++i)
    BOOST_TEST(
        (fleet.Find(fleet[i], kStream, PoolId()) == StreamOrigin{kPool, kOld}));
}

// Guards against a stream that goes on in another service: the route has moved
// there since, and the instance that is asked knew only its one version.
BOOST_AUTO_TEST_CASE(a_stream_keeps_its_pool_when_its_route_has_moved) {
  const PoolId other("other");
  Fleet fleet(20);
  for (Fleet::Instance& instance : fleet.all()) {
    instance.List({kOld}, kUp);
    instance.state.pool_versions().SetListed({{kPool, {kOld}}, {other, {kNew}}},
                                             BootClock::now());
  }
  fleet[0].origins.Record(kStream, {kPool, kOld});
  fleet.Run();
  for (std::size_t i = 1; i < fleet.all().size(); ++i) {
    const auto found = fleet.Find(fleet[i], kStream, other);
    BOOST_TEST((!found || *found == StreamOrigin{kPool, kOld}));
  }
}

// Guards against refused resumes while all instances are restarted one after
// the other: those that have started know too little of the past, and the one
// that stops last has copied nothing.
BOOST_AUTO_TEST_CASE(streams_are_known_when_all_others_have_just_started) {
  Fleet fleet(3);
  fleet[0].List({kOld}, kUp);
  fleet[1].List({kOld}, Millis(5000));
  fleet[2].List({kOld}, Millis(10'000));
  fleet[0].origins.Record(kStream, {kPool, kOld});
  fleet.Run();
  fleet.Kill(fleet[0]);
  BOOST_TEST((fleet.Find(fleet[1]) == StreamOrigin{kPool, kOld}));
}

// Guards against tables that grow as long as the store comes and goes: each
// time that a pool may have several versions, copies were sent, and lived anew.
BOOST_AUTO_TEST_CASE(a_copy_lives_no_longer_than_the_stream) {
  constexpr Millis kLeft{200};
  Fleet fleet(4);
  for (Fleet::Instance& instance : fleet.all()) {
    instance.state.ApplyPolicy(PolicyWithPool());
    instance.List({kOld}, kUp);
  }
  const Instant now = BootClock::now();
  fleet[0].state.stream_origins().Record(
      kStream, {kPool, kOld}, now + kLeft - StreamOriginTable::kStreamLifetime);
  fleet[0].List({kOld, kNew}, kUp);
  fleet.RunFor(2 * kLeft);
  for (Fleet::Instance& instance : fleet.all())
    BOOST_TEST(
        !instance.state.stream_origins().Find(kStream, BootClock::now()));
}

// Guards against copies that are lost because a datagram has no room for them:
// callers choose how long the ids of their requests are.
BOOST_AUTO_TEST_CASE(long_ids_fit_into_datagrams) {
  constexpr std::size_t kLongId = 8000;
  constexpr std::size_t kMaxDatagramBytes = 65'507;
  GatewayState state(Settings("i-0"));
  state.members().Update(MemberOf(InstanceId("i-0")), RowVersion(1),
                         BootClock::now());
  state.members().Update(MemberOf(InstanceId("i-1")), RowVersion(1),
                         BootClock::now());
  state.ApplyPolicy(PolicyWithPool());
  asio::io_context context;
  std::size_t copied = 0;
  PeerStreamOrigins origins(
      context, state,
      [&](const Member& /*target*/, const StreamOriginMessage& message) {
        if (EncodeStreamOriginMessage(message).size() <= kMaxDatagramBytes)
          copied += message.entries.size();
      });
  const Instant now = BootClock::now();
  const auto list = [&](std::set<SoftwareVersion> versions) {
    state.pool_versions().SetListed({{kPool, std::move(versions)}}, now);
  };
  state.pool_versions().RecordGap(now - kUp);
  state.backend_freshness().RecordStoreTime(now, Millis(1000));
  state.backend_freshness().Confirm(now, Millis(1000));
  list({kOld});
  constexpr std::size_t kStreams = 16;
  for (std::size_t i = 0; i < kStreams; ++i)
    origins.Record(RequestId(std::string(kLongId, static_cast<char>('a' + i))),
                   {kPool, kOld});
  list({kOld, kNew});
  context.run_for(PeerStreamOrigins::kGiveUpAfter);
  BOOST_TEST(copied >= kStreams);
}

// Guards against a process that ends by a malformed datagram.
BOOST_AUTO_TEST_CASE(malformed_messages_are_refused) {
  StreamOriginMessage message;
  message.kind = StreamOriginMessage::Kind::kReply;
  message.sender = InstanceId("i-1");
  message.answer = StreamOriginAnswer::kRecorded;
  message.entries.push_back({kStream, {kPool, kOld}});
  auto bytes = EncodeStreamOriginMessage(message);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    BOOST_TEST(!DecodeStreamOriginMessage(bytes.data(), size));
  message.kind = static_cast<StreamOriginMessage::Kind>(9);
  bytes = EncodeStreamOriginMessage(message);
  BOOST_TEST(!DecodeStreamOriginMessage(bytes.data(), bytes.size()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bamboomount
