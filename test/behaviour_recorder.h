// Computes one digest over everything that simulated leaders send and users are told. Two builds
// with equal digests behaved the same, byte for byte and in the same order. Events are encoded as
// they go over the wire, or as plain lists of values, never with names of C++ types or members, so
// a change that only renames those leaves the digest unchanged.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "controller/leader.h"

namespace reachramp::test {

// A 64-bit FNV-1a hash, which is short and the same on every machine. It detects accidental
// differences; it is not a cryptographic hash.
class Digest {
 public:
  // Hashes `size` more bytes.
  void add(const void* bytes, std::size_t size);
  // The digest of all bytes so far.
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325;
};

// Digests the events of one simulation, and counts them by kind.
class BehaviourRecorder {
 public:
  // The kind of an event. The enumerators' numbers enter the digest, so new kinds are added at the
  // end.
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
  // The number of events, indexed by Kind.
  using Counts = std::array<std::uint64_t, kKindCount>;

  // Adds an event at the simulated time `now`. `values` must be a list; doubles in it enter the
  // digest with all their bits.
  void record(Kind kind, double now, const wire::Json& values);
  // Adds everything that the leader with this fencing token requests by `effects`.
  void record_effects(double now, std::uint64_t fencing_token, const controller::Effects& effects);
  // Adds a leader's response to a worker's heartbeat. A null `body` means that the leader must not
  // answer.
  void record_response(double now, std::uint64_t fencing_token, const workers::Heartbeat& heartbeat,
                       const wire::Json& body);

  // The digest of all events so far.
  std::uint64_t digest() const { return digest_.value(); }
  const Counts& counts() const { return counts_; }

 private:
  Digest digest_;
  Counts counts_{};
};

}  // namespace reachramp::test
