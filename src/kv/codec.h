// The form of the key-value store's requests and responses on the wire; the one place that knows
// its names (PROTOCOL, "Controller nodes -> state service"). All functions are pure and may be
// called by any thread.
//
// A response that cannot be decoded says nothing about what was executed: the decoders then log the
// reason and return a default result, whose outcome is `unknown`. They don't throw.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "kv/types.h"
#include "wire/http.h"

namespace reachramp::kv {

// Whether the value, and `growth_bytes` by which the caller expects it to grow, stays within the
// size limit of a value (`state.value_kb`, in KiB of the JSON form). A transaction that exceeds it
// is malformed as a whole, so callers check before they commit.
bool fits(const Json& value, double value_kb, std::size_t growth_bytes = 0);

// Request targets. Slashes in keys are not escaped, as the protocol wants it.
inline constexpr const char* kTransactionTarget = "/multi";
inline constexpr const char* kLeasesTarget = "/holds";
std::string encode_key_target(const std::string& key);
// A page of as many keys as the service allows, those after `after`; empty: from the first.
std::string encode_list_target(const std::string& prefix, const std::string& after);
std::string encode_lease_target(std::uint64_t lease_id);
std::string encode_lease_renewal_target(std::uint64_t lease_id);
std::string encode_watch_target(const std::string& prefix, std::uint64_t after,
                                std::chrono::milliseconds max_wait);

// Request bodies.
Json encode_transaction(const Transaction& transaction);
Json encode_lease_request(std::chrono::milliseconds lifetime);

// Returns what the status of a response, or the lack of a response, says about the request.
Outcome decode_outcome(const wire::CallResult& response);
// Returns the store revision of a response; none if the response carries none.
std::optional<std::uint64_t> decode_store_revision(const wire::CallResult& response);

// Decoders of whole responses. `throttle_count` is left at 0: it counts several responses, so the
// caller sets it.
CommitResult decode_commit_result(const wire::CallResult& response);
ListResult decode_list_result(const wire::CallResult& response);
WatchResult decode_watch_result(const wire::CallResult& response);
ReadResult decode_read_result(const wire::CallResult& response);
LeaseGrant decode_lease_grant(const wire::CallResult& response);

}  // namespace reachramp::kv
