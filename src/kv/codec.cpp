#include "kv/codec.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace reachramp::kv {

namespace {

// Returns a result with the outcome of the response, which `decode` completes. If `decode` throws,
// logs the reason and returns the default result.
template <class Result, class Decode>
Result decode_or_unknown(const wire::CallResult& response, Decode decode) {
  Result result;
  result.outcome = decode_outcome(response);
  try {
    decode(result);
  } catch (const std::exception& error) {
    spdlog::error("key-value store: cannot decode a response: {}", error.what());
    result = Result{};
  }
  return result;
}

KeyChange decode_change(const Json& item) {
  KeyChange change;
  change.revision = wire::count(item, "stamp");
  if (const auto removed = wire::optional_text(item, "remove")) {
    change.key = *removed;
  } else {
    change.key = wire::text(item, "write");
    change.value = wire::require(item, "value");
  }
  return change;
}

Json encode_write(const Write& write) {
  if (!write.value) return {{"remove", write.key}};
  Json put{{"write", write.key}, {"value", *write.value}};
  if (write.lease_id) put["permit"] = *write.lease_id;
  return put;
}

}  // namespace

bool fits(const Json& value, double value_kb, std::size_t growth_bytes) {
  return static_cast<double>(wire::json_size(value) + growth_bytes) <= value_kb * 1024;
}

std::string encode_key_target(const std::string& key) { return "/keys/" + key; }

std::string encode_list_target(const std::string& prefix, const std::string& after) {
  std::string target = "/keys?starts=" + prefix;
  if (!after.empty()) target += "&after=" + after;
  return target + "&limit=1000";
}

std::string encode_lease_target(std::uint64_t lease_id) {
  return "/holds/" + std::to_string(lease_id);
}

std::string encode_lease_renewal_target(std::uint64_t lease_id) {
  return encode_lease_target(lease_id) + "/renew";
}

std::string encode_watch_target(const std::string& prefix, std::uint64_t after,
                                std::chrono::milliseconds max_wait) {
  return "/follow?starts=" + prefix + "&after=" + std::to_string(after) +
         "&hold_ms=" + std::to_string(max_wait.count());
}

Json encode_transaction(const Transaction& transaction) {
  Json preconditions = Json::array();
  for (const auto& [key, revision] : transaction.preconditions) {
    preconditions.push_back({{"k", key}, {"stamp", revision}});
  }
  Json writes = Json::array();
  for (const Write& write : transaction.writes) writes.push_back(encode_write(write));
  Json body{{"if", std::move(preconditions)}};
  if (!writes.empty()) body["then"] = std::move(writes);  // without `then`, it only compares
  return body;
}

Json encode_lease_request(std::chrono::milliseconds lifetime) {
  return {{"life_ms", lifetime.count()}};
}

Outcome decode_outcome(const wire::CallResult& response) {
  if (!response.received_response)
    return response.may_have_been_sent ? Outcome::unknown : Outcome::refused;
  switch (response.status) {
    case 200:
      return Outcome::ok;
    case 400:
      return Outcome::malformed;
    case 404:
    case 410:
      return Outcome::absent;
    case 409:
      return Outcome::conflict;
    default:
      return Outcome::refused;
  }
}

std::optional<std::uint64_t> decode_store_revision(const wire::CallResult& response) {
  const Json* revision = response.body.is_object() ? wire::find(response.body, "epoch") : nullptr;
  if (revision == nullptr || !revision->is_number_unsigned()) return std::nullopt;
  return revision->get<std::uint64_t>();
}

CommitResult decode_commit_result(const wire::CallResult& response) {
  return decode_or_unknown<CommitResult>(response, [&](CommitResult& result) {
    if (result.outcome == Outcome::ok) result.store_revision = wire::count(response.body, "epoch");
    if (result.outcome == Outcome::conflict) {
      for (const Json& key : wire::list(response.body, "failed")) {
        result.failed_keys.push_back(key.get<std::string>());
      }
    }
    if (result.outcome == Outcome::malformed &&
        response.body.value("error", "") == "no such lease") {
      result.outcome = Outcome::unknown_lease;
    }
  });
}

ListResult decode_list_result(const wire::CallResult& response) {
  return decode_or_unknown<ListResult>(response, [&](ListResult& page) {
    if (page.outcome != Outcome::ok) return;
    page.store_revision = wire::count(response.body, "epoch");
    const Json* more = wire::find(response.body, "truncated");
    page.has_more = more != nullptr && more->get<bool>();
    for (const Json& item : wire::list(response.body, "entries")) {
      page.entries.push_back(
          {wire::text(item, "k"), wire::require(item, "value"), wire::count(item, "stamp")});
    }
  });
}

WatchResult decode_watch_result(const wire::CallResult& response) {
  return decode_or_unknown<WatchResult>(response, [&](WatchResult& result) {
    if (result.outcome != Outcome::ok) return;
    result.store_revision = wire::count(response.body, "epoch");
    for (const Json& item : wire::list(response.body, "log")) {
      result.changes.push_back(decode_change(item));
    }
  });
}

ReadResult decode_read_result(const wire::CallResult& response) {
  return decode_or_unknown<ReadResult>(response, [&](ReadResult& found) {
    if (found.outcome == Outcome::ok) {
      found.entry = {wire::text(response.body, "k"), wire::require(response.body, "value"),
                     wire::count(response.body, "stamp")};
      if (wire::find(response.body, "permit") != nullptr) {
        found.entry.lease_id = wire::count(response.body, "permit");
      }
    } else if (found.outcome == Outcome::absent) {
      found.store_revision = wire::count(response.body, "epoch");
    }
  });
}

LeaseGrant decode_lease_grant(const wire::CallResult& response) {
  return decode_or_unknown<LeaseGrant>(response, [&](LeaseGrant& lease) {
    if (lease.outcome == Outcome::ok) lease.id = wire::count(response.body, "permit");
  });
}

}  // namespace reachramp::kv
