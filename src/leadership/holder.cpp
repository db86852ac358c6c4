#include "leadership/holder.h"

namespace reachramp::leadership {

namespace {

// Returns a field's text; empty if the record is not an object, or the field is missing or not
// text: versions up to 0.4.0 write no address.
std::string text_in(const wire::Json& value, const char* field) {
  const wire::Json* found = value.is_object() ? wire::find(value, field) : nullptr;
  return found != nullptr && found->is_string() ? found->get<std::string>() : std::string();
}

// Returns the field `nonce` of the record: the process's nonce followed by the lease of the claim.
std::string nonce_with(const Identity& self, std::uint64_t lease_id) {
  return self.nonce + std::to_string(lease_id);
}

}  // namespace

wire::Json encode_holder(const Identity& self, std::uint64_t lease_id) {
  return {{"node", self.node}, {"at", self.address}, {"nonce", nonce_with(self, lease_id)}};
}

std::string node_of(const wire::Json& value) { return text_in(value, "node"); }

Holder holder_of(const wire::Json& value, const Identity& self, std::uint64_t lease_id) {
  const std::string node = node_of(value);
  if (node.empty()) return Holder::unreadable;
  if (node != self.node) return Holder::other;
  if (lease_id != 0 && text_in(value, "nonce") == nonce_with(self, lease_id)) return Holder::ours;
  return text_in(value, "at") == self.address ? Holder::predecessor : Holder::other;
}

}  // namespace reachramp::leadership
