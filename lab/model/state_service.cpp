#include "model/state_service.h"

#include <algorithm>
#include <limits>

#include "model/query.h"

namespace reachramp::lab {

using kv::Json;
using kv::Outcome;
using wire::Request;
using wire::Response;

namespace {

// PROTOCOL sets these limits.
// Number of changes in the log; a watch from an older revision fails.
constexpr std::size_t kMaxLogEntries = 10000;
// The size of one page of a list.
constexpr std::size_t kMaxListEntries = 1000;
constexpr std::size_t kMaxList_bytes = 512 * 1024;
constexpr std::size_t kMaxTransaction_bytes = 64 * 1024;
constexpr std::size_t kMaxKey_bytes = 200;
// The most preconditions of a transaction, as a multiple of the most writes.
constexpr std::size_t kMaxPreconditionsPerOp = 4;
// A lease may expire up to this long after its lifetime.
constexpr double kMaxExpiryDelay_s = 0.1;
constexpr std::uint64_t kMinLeaseLifetime_ms = 100;
constexpr std::uint64_t kMaxLeaseLifetime_ms = 600000;
constexpr std::uint64_t kMaxWatchWait_ms = 60000;

Response bad_request(const std::string& why) { return {400, {{"error", why}}}; }

bool is_key(const std::string& key) {
  return !key.empty() && key.size() <= kMaxKey_bytes && key.find(' ') == std::string::npos;
}

std::string require_key(const Json& item, const char* field) {
  std::string key = wire::text(item, field);
  if (!is_key(key)) throw wire::BadMessage(std::string(field) + ": not a key");
  return key;
}

// Returns the list of maps in the field; an empty list if the body lacks the field. Throws
// wire::BadMessage if it is anything else.
const Json& optional_map_list(const Json& body, const char* field) {
  static const Json none = Json::array();
  if (wire::find(body, field) == nullptr) return none;
  const Json& list = wire::list(body, field);
  for (const Json& item : list) {
    if (!item.is_object()) throw wire::BadMessage(std::string(field) + ": not maps");
  }
  return list;
}

kv::Transaction decode(const Json& body) {
  kv::Transaction transaction;
  for (const Json& item : optional_map_list(body, "if")) {
    transaction.preconditions.emplace_back(require_key(item, "k"), wire::count(item, "stamp"));
  }
  for (const Json& item : optional_map_list(body, "then")) {
    if (wire::find(item, "remove") != nullptr) {
      transaction.writes.push_back({require_key(item, "remove"), std::nullopt, std::nullopt});
      continue;
    }
    kv::Write write{require_key(item, "write"), wire::require(item, "value"), std::nullopt};
    if (wire::find(item, "permit") != nullptr) write.lease_id = wire::count(item, "permit");
    transaction.writes.push_back(std::move(write));
  }
  return transaction;
}

}  // namespace

StateService::StateService(const settings::StoreLimits& limits, std::uint64_t seed)
    : limits_(limits),
      request_bucket_(limits.rps, limits.rps),
      write_bucket_(limits.write_rps, limits.write_rps),
      random_(seed) {}

void StateService::set_limits(const settings::StoreLimits& limits) {
  if (limits.rps != limits_.rps) request_bucket_ = kv::TokenBucket(limits.rps, limits.rps);
  if (limits.write_rps != limits_.write_rps) {
    write_bucket_ = kv::TokenBucket(limits.write_rps, limits.write_rps);
  }
  limits_ = limits;
}

void StateService::end_outage(double now) {
  if (!outage_since_) return;
  outage_since_.reset();
  for (auto& [id, lease] : leases_) lease.expires_at = draw_expiry(lease, now);
}

void StateService::set_refused(const std::string& node, bool refused) {
  refused_nodes_[node] = refused;
}

void StateService::restore(Backup backup) {
  items_ = std::move(backup.items);
  store_revision_ = backup.store_revision;
  change_log_ = std::move(backup.change_log);
  last_dropped_revision_ = change_log_.empty() ? store_revision_ : change_log_.front().revision - 1;
  // Leases are not part of a backup: the service keeps the current ones, and those without keys
  // just expire. Restored keys of leases that no longer exist are detached.
  for (auto& [key, item] : items_) {
    if (item.lease_id != 0 && !leases_.contains(item.lease_id)) item.lease_id = 0;
  }
}

// Late by up to 0.1 s, never early.
double StateService::draw_expiry(const Lease& lease, double now) {
  return now + lease.lifetime_s +
         std::uniform_real_distribution<double>(0, kMaxExpiryDelay_s)(random_);
}

std::variant<Response, StateService::PendingWatch> StateService::handle_request(
    const std::string& node, const Request& request, double now) {
  ++request_count_;
  const auto refused = refused_nodes_.find(node);
  if (outage_since_ || (refused != refused_nodes_.end() && refused->second)) {
    return Response{503, {{"error", "trouble"}}};
  }
  if (request_bucket_.take(1, now) > 0) return Response{429, {{"error", "too many requests"}}};
  try {
    const bool get = request.method == "GET";
    if (get && request.path.starts_with("/keys/"))
      return handle_read_request(request.path.substr(6));
    if (get && request.path == "/keys") return handle_list_request(request);
    if (get && request.path == "/follow") return handle_watch_request(request, now);
    if (request.method == "POST" && request.path == "/multi")
      return handle_transaction_request(request, now);
    if (!get && (request.path + "/").starts_with("/holds/"))
      return handle_lease_request(request, now);
  } catch (const wire::BadMessage& bad) {
    return bad_request(bad.what());
  }
  return bad_request("no such request");
}

Response StateService::handle_read_request(const std::string& key) const {
  if (!is_key(key)) return bad_request("not a key");
  const auto at = items_.find(key);
  if (at == items_.end()) return {404, {{"epoch", store_revision_}}};
  Response reply{200, {{"k", key}, {"value", at->second.value}, {"stamp", at->second.revision}}};
  if (at->second.lease_id != 0) reply.body["permit"] = at->second.lease_id;
  return reply;
}

Response StateService::handle_list_request(const Request& request) const {
  const std::string prefix = query_parameter(request.query, "starts");
  const std::string after = query_parameter(request.query, "after");
  const auto max_entries = std::min<std::uint64_t>(
      parse_count_or(query_parameter(request.query, "limit"), "limit", kMaxListEntries),
      kMaxListEntries);
  auto at =
      after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(std::max(after, prefix));
  if (!after.empty() && after < prefix) at = items_.lower_bound(prefix);
  Json entries = Json::array();
  std::size_t bytes = 0;
  const auto more = [&] { return at != items_.end() && at->first.starts_with(prefix); };
  for (; more() && entries.size() < max_entries; ++at) {
    Json entry{{"k", at->first}, {"value", at->second.value}, {"stamp", at->second.revision}};
    bytes += wire::json_size(entry);
    if (bytes > kMaxList_bytes && !entries.empty()) break;
    entries.push_back(std::move(entry));
  }
  return {200,
          {{"entries", std::move(entries)}, {"truncated", more()}, {"epoch", store_revision_}}};
}

Response StateService::handle_transaction_request(const Request& request, double now) {
  const Json body = wire::decode_map(request.body);
  if (wire::json_size(body) > kMaxTransaction_bytes) return bad_request("too large");
  const kv::Transaction transaction = decode(body);
  if (too_large(transaction)) return bad_request("too large");
  // Writes of transactions whose preconditions fail count against the rate as well.
  const auto writes = static_cast<double>(transaction.writes.size());
  if (writes > 0 && write_bucket_.take(writes, now) > 0)
    return {429, {{"error", "too many changes"}}};
  const kv::CommitResult committed = commit(transaction);
  switch (committed.outcome) {
    case Outcome::ok:
      return {200, {{"epoch", committed.store_revision}}};
    case Outcome::conflict:
      return {409, {{"failed", committed.failed_keys}, {"epoch", committed.store_revision}}};
    default:
      return bad_request("no such lease");
  }
}

bool StateService::too_large(const kv::Transaction& transaction) const {
  const auto ops = static_cast<std::size_t>(limits_.txn_ops);
  return transaction.writes.size() > ops ||
         transaction.preconditions.size() > kMaxPreconditionsPerOp * ops ||
         std::any_of(transaction.writes.begin(), transaction.writes.end(), [&](const auto& write) {
           return write.value && !kv::fits(*write.value, limits_.value_kb);
         });
}

kv::CommitResult StateService::commit(const kv::Transaction& transaction) {
  kv::CommitResult result;
  result.store_revision = store_revision_;
  result.outcome = Outcome::malformed;
  if (too_large(transaction)) return result;
  for (const kv::Write& write : transaction.writes) {
    if (write.lease_id && !leases_.contains(*write.lease_id)) {
      result.outcome = Outcome::unknown_lease;
      return result;
    }
  }
  for (const auto& [key, revision] : transaction.preconditions) {
    const auto at = items_.find(key);
    if ((at == items_.end() ? 0 : at->second.revision) != revision)
      result.failed_keys.push_back(key);
  }
  if (!result.failed_keys.empty()) {
    result.outcome = Outcome::conflict;
    return result;
  }
  if (!transaction.writes.empty()) ++store_revision_;
  for (const kv::Write& write : transaction.writes) {
    if (write.value) {
      items_[write.key] = {*write.value, store_revision_, write.lease_id.value_or(0)};
      append_change({write.key, write.value, store_revision_});
    } else {
      erase_item(write.key);
    }
  }
  result.outcome = Outcome::ok;
  result.store_revision = store_revision_;
  return result;
}

void StateService::erase_item(const std::string& key) {
  if (items_.erase(key) > 0) append_change({key, std::nullopt, store_revision_});
}

void StateService::append_change(kv::KeyChange change) {
  change_log_.push_back(std::move(change));
  if (change_log_.size() <= kMaxLogEntries) return;
  last_dropped_revision_ = change_log_.front().revision;
  change_log_.pop_front();
}

std::vector<kv::Entry> StateService::list(const std::string& prefix) const {
  std::vector<kv::Entry> found;
  for (auto at = items_.lower_bound(prefix); at != items_.end() && at->first.starts_with(prefix);
       ++at) {
    found.push_back({at->first, at->second.value, at->second.revision});
  }
  return found;
}

std::optional<std::vector<kv::KeyChange>> StateService::changes_after(const std::string& prefix,
                                                                      std::uint64_t after) const {
  if (after < last_dropped_revision_) return std::nullopt;
  std::vector<kv::KeyChange> found;
  const auto from =
      std::partition_point(change_log_.begin(), change_log_.end(),
                           [&](const auto& change) { return change.revision <= after; });
  std::copy_if(from, change_log_.end(), std::back_inserter(found),
               [&](const auto& change) { return change.key.starts_with(prefix); });
  return found;
}

std::uint64_t StateService::grant_lease(double lifetime_s, double now) {
  Lease lease{lifetime_s, 0};
  lease.expires_at = draw_expiry(lease, now);
  leases_[++last_lease_id_] = lease;
  return last_lease_id_;
}

void StateService::revoke_lease(std::uint64_t lease_id) {
  if (leases_.erase(lease_id) == 0) return;
  std::vector<std::string> attached;
  for (const auto& [key, item] : items_) {
    if (item.lease_id == lease_id) attached.push_back(key);
  }
  if (!attached.empty()) ++store_revision_;
  for (const std::string& key : attached) erase_item(key);
}

Response StateService::handle_lease_request(const Request& request, double now) {
  if (request.path == "/holds") {
    if (request.method != "POST") return bad_request("no such request");
    const std::uint64_t life = wire::count(wire::decode_map(request.body), "life_ms");
    if (life < kMinLeaseLifetime_ms || life > kMaxLeaseLifetime_ms)
      return bad_request("life_ms: out of range");
    return {200, {{"permit", grant_lease(static_cast<double>(life) / 1000, now)}}};
  }
  std::string id = request.path.substr(std::string("/holds/").size());
  static const std::string renew = "/renew";
  const bool renews = request.method == "POST" && id.ends_with(renew);
  if (renews) id.resize(id.size() - renew.size());
  if (!renews && request.method != "DELETE") return bad_request("no such request");
  const auto at = leases_.find(parse_count(id, "permit"));
  // An unknown lease has expired or never existed.
  if (at == leases_.end()) return {404, Json::object()};
  if (renews) {
    at->second.expires_at = draw_expiry(at->second, now);
  } else {
    revoke_lease(at->first);
  }
  return {200, Json::object()};
}

std::variant<Response, StateService::PendingWatch> StateService::handle_watch_request(
    const Request& request, double now) {
  const std::uint64_t hold =
      parse_count_or(query_parameter(request.query, "hold_ms"), "hold_ms", 0);
  if (hold > kMaxWatchWait_ms) return bad_request("hold_ms: out of range");
  const Watch watch{query_parameter(request.query, "starts"),
                    parse_count_or(query_parameter(request.query, "after"), "after", 0),
                    now + static_cast<double>(hold) / 1000};
  const auto found = changes_after(watch.prefix, watch.after_revision);
  if (!found) return Response{410, {{"epoch", store_revision_}}};
  if (!found->empty() || hold == 0) return watch_response(watch);
  watches_[++last_watch_id_] = watch;
  return PendingWatch{last_watch_id_};
}

Response StateService::watch_response(const Watch& watch) const {
  const auto found = changes_after(watch.prefix, watch.after_revision);
  if (!found) return {410, {{"epoch", store_revision_}}};
  Json log = Json::array();
  for (const kv::KeyChange& change : *found) {
    if (change.value) {
      log.push_back({{"write", change.key}, {"value", *change.value}, {"stamp", change.revision}});
    } else {
      log.push_back({{"remove", change.key}, {"stamp", change.revision}});
    }
  }
  return {200, {{"epoch", store_revision_}, {"log", std::move(log)}}};
}

// During an outage no lease expires and no watch is answered.
std::vector<StateService::WatchReply> StateService::advance(double now) {
  std::vector<WatchReply> replies;
  if (outage_since_) return replies;
  std::vector<std::uint64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_at <= now) expired.push_back(id);
  }
  for (const std::uint64_t id : expired) revoke_lease(id);
  for (auto at = watches_.begin(); at != watches_.end();) {
    const Watch& watch = at->second;
    const auto found = changes_after(watch.prefix, watch.after_revision);
    if (found && found->empty() && now < watch.answer_by) {
      ++at;
      continue;
    }
    replies.push_back({at->first, watch_response(watch)});
    at = watches_.erase(at);
  }
  return replies;
}

double StateService::next_event_at() const {
  double due = std::numeric_limits<double>::infinity();
  if (outage_since_) return due;
  for (const auto& [id, lease] : leases_) due = std::min(due, lease.expires_at);
  for (const auto& [id, watch] : watches_) due = std::min(due, watch.answer_by);
  return due;
}

}  // namespace reachramp::lab
