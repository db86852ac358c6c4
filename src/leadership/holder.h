// Whose key stands under `leader`. A process that has bound its addresses knows that whoever held
// them before it on the same machine is dead, whatever its lease says.
#pragma once

#include <cstdint>
#include <string>

#include "wire/message.h"

namespace reachramp::leadership {

struct Identity {
  std::string node;
  std::string at;     // the address for other nodes: the same name elsewhere is not this node
  std::string nonce;  // of this process
};

enum class Holder {
  ours,         // claimed with the lease that we hold
  predecessor,  // an earlier process here, or an earlier claim of ours that came late
  other,        // another node, or the same name at another address, or a version that tells none
  unreadable,   // nothing is done on its strength; it ends with its lease
};

wire::Json encode_holder(const Identity& self, std::uint64_t lease_id);
Holder holder_of(const wire::Json& value, const Identity& self, std::uint64_t lease_id);
// The node that leads; empty if the record cannot be read.
std::string node_of(const wire::Json& value);

}  // namespace reachramp::leadership
