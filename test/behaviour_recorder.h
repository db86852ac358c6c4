// Records what leaves the simulated leaders, and what users are told, as one digest: two builds
// whose digests are equal behaved the same, byte for byte and in order. Events are encoded as they
// go over the wire, or as plain lists of values, never with names of C++ types or members, so that
// a change that only renames them leaves the digest as it is.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "controller/leader.h"

namespace reachramp::test {

// 64-bit FNV-1a: short, and the same on every machine. It guards against mistakes, not malice.
class Digest {
 public:
  void add(const void* bytes, std::size_t size);
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325;
};

class BehaviourRecorder {
 public:
  // What an event is about. The numbers go into the digest: new kinds are added at the end.
  enum Kind : std::uint8_t {
    kElected,
    kTransaction,
    kCloudRequest,
    kTransactionVerification,
    kJobEndRead,
    kProbe,
    kUrgentStop,
    kCancellationPoll,
    kEffectFlags,
    kResponse,
    kNullResponse,
    kHeartbeatToDeposedLeader,
    kSubmitted,
    kCancelled,
    kCancellationDigest,
    kSimulationEnd,
    kKindCount
  };
  using Counts = std::array<std::uint64_t, kKindCount>;

  // `values`: a list; doubles in it count to their last bit.
  void record(Kind kind, double now, const wire::Json& values);
  // Everything that a leader wants done, by its fencing token.
  void record_effects(double now, std::uint64_t fencing_token, const controller::Effects& effects);
  // A leader's response to a worker's report; null: it may not answer.
  void record_response(double now, std::uint64_t fencing_token, const workers::Heartbeat& heartbeat,
                       const wire::Json& body);

  std::uint64_t digest() const { return digest_.value(); }
  const Counts& counts() const { return counts_; }

 private:
  Digest digest_;
  Counts counts_{};
};

}  // namespace reachramp::test
