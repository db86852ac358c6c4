#include "peers/members.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <thread>

#include "kv/steady_clock.h"

namespace reachramp::peers {

namespace {

using kv::Outcome;

constexpr double kMemberPollInterval_s = 1;

// Whether the record announces at least the current format.
bool supports_format(const kv::Json& record) {
  const wire::Json* format = record.is_object() ? wire::find(record, "format") : nullptr;
  return format != nullptr && format->is_number_unsigned() &&
         format->get<std::uint64_t>() >= kMemberRecordFormat;
}

}  // namespace

std::string member_key(const std::string& node) { return "member/" + node; }

kv::Json encode_member(std::uint64_t format) { return {{"format", format}}; }

bool all_support_format(const std::vector<std::string>& nodes,
                        const std::vector<kv::Entry>& entries) {
  return std::all_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
    return std::any_of(entries.begin(), entries.end(), [&](const kv::Entry& entry) {
      return entry.key == member_key(node) && supports_format(entry.value);
    });
  });
}

Members::Members(kv::Client& store, const settings::Platform& platform)
    : store_(store), own_name_(platform.node_name) {
  node_names_.push_back(own_name_);
  for (const settings::Member& member : platform.members) node_names_.push_back(member.name);
}

bool Members::announce() {
  const kv::ReadResult found = store_.get(member_key(own_name_));
  if (found.outcome == Outcome::ok && supports_format(found.entry.value)) return true;
  if (found.outcome != Outcome::ok && found.outcome != Outcome::absent) return false;
  kv::Transaction announcement;
  announcement.preconditions = {{member_key(own_name_), found.entry.revision}};
  announcement.writes.push_back(
      {member_key(own_name_), encode_member(kMemberRecordFormat), std::nullopt});
  return store_.commit(announcement).outcome == Outcome::ok;
}

std::optional<bool> Members::check_all_upgraded() {
  if (all_upgraded_) return true;
  std::vector<kv::Entry> entries;
  for (;;) {
    kv::ListResult page = store_.list("member/", entries.empty() ? "" : entries.back().key);
    if (page.outcome != Outcome::ok) return std::nullopt;
    const bool more = page.has_more && !page.entries.empty();
    for (auto& entry : page.entries) entries.push_back(std::move(entry));
    if (!more) break;
  }
  if (!all_support_format(node_names_, entries)) return false;
  if (!all_upgraded_.exchange(true))
    spdlog::info("all nodes read record format {}", kMemberRecordFormat);
  return true;
}

void Members::run() {
  bool announced = false;
  for (;;) {
    announced = announced || announce();
    if (announced && check_all_upgraded() == true) return;
    std::this_thread::sleep_for(kv::jittered(kMemberPollInterval_s));
  }
}

}  // namespace reachramp::peers
