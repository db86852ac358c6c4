// The record under the key `leader`, and which process wrote it. Only one process can bind a node's
// addresses, so a process that has bound them knows that every earlier process of this node is
// dead, even if that process's lease in the key-value store has not expired
// (docs/design/own-days.md).
//
// Pure functions: any thread may call them. None throws for a record that another version wrote or
// that is damaged.
#pragma once

#include <cstdint>
#include <string>

#include "wire/message.h"

namespace reachramp::leadership {

// What distinguishes this process from every other that may write the leader's record.
struct Identity {
  std::string node;     // name from the settings
  std::string address;  // host:port for other nodes: the same name elsewhere is not this node
  std::string nonce;    // random, one for each process
};

// Which process wrote the leader's record, as seen from one process.
enum class Holder {
  ours,         // claimed with the lease that this process holds
  predecessor,  // an earlier process here, or a claim of ours that was applied late
  other,        // another node, or this node's name with another address or, in old records, none
  unreadable,   // damaged: left alone until its lease expires
};

// Encodes the record with which `self` claims leadership under the lease `lease_id` of the
// key-value store. The lease is part of the nonce, so that a claim applied after its lease was
// given up counts as a predecessor's.
wire::Json encode_holder(const Identity& self, std::uint64_t lease_id);
// Classifies a stored record for `self`, which holds the lease `lease_id` (0: holds none).
Holder holder_of(const wire::Json& value, const Identity& self, std::uint64_t lease_id);
// Returns the node that the record names as leader; empty if the record cannot be read.
std::string node_of(const wire::Json& value);

}  // namespace reachramp::leadership
