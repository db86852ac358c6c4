// The record under the key `leader` and whose it is. Only one process can bind a node's addresses,
// so a process that has bound them knows that every earlier one there is dead, whatever its lease
// in the key-value store says (docs/design/own-days.md).
//
// Pure functions without state: any thread may call them. Records that other versions wrote, or
// that are damaged, are answered with a value and never with an exception.
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

// Whose record it is, as seen from one process.
enum class Holder {
  ours,         // claimed with the lease that this process holds
  predecessor,  // an earlier process here, or a claim of ours that was applied late
  other,        // another node, the same name at another address, or a version that writes none
  unreadable,   // no basis for any action: left alone until it ends with its lease
};

// The record with which `self` claims leadership under the lease `lease_id` of the key-value store.
// The lease is part of the nonce, so that a claim applied after its lease was given up counts as a
// predecessor's.
wire::Json encode_holder(const Identity& self, std::uint64_t lease_id);
// Classifies a stored record for `self`, which holds the lease `lease_id` (0: holds none).
Holder holder_of(const wire::Json& value, const Identity& self, std::uint64_t lease_id);
// The node that the record names as leader; empty if the record cannot be read.
std::string node_of(const wire::Json& value);

}  // namespace reachramp::leadership
