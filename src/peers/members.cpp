#include "peers/members.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <thread>

#include "kv/steady_clock.h"

namespace reachramp::peers {

namespace {

using kv::Outcome;

constexpr double kLookEvery_s = 1;

bool reads(const kv::Json& record) {
  const wire::Json* format = record.is_object() ? wire::find(record, "format") : nullptr;
  return format != nullptr && format->is_number_unsigned() &&
         format->get<std::uint64_t>() >= kRecordFormat;
}

}  // namespace

std::string member_key(const std::string& node) { return "member/" + node; }

kv::Json encode_member(std::uint64_t format) { return {{"format", format}}; }

bool all_read(const std::vector<std::string>& nodes, const std::vector<kv::Entry>& entries) {
  return std::all_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
    return std::any_of(entries.begin(), entries.end(), [&](const kv::Entry& entry) {
      return entry.key == member_key(node) && reads(entry.value);
    });
  });
}

Members::Members(kv::Client& state, const settings::Platform& platform)
    : state_(state), own_(platform.node_name) {
  nodes_.push_back(own_);
  for (const settings::Member& member : platform.members) nodes_.push_back(member.name);
}

bool Members::announce() {
  const kv::ReadResult found = state_.get(member_key(own_));
  if (found.outcome == Outcome::ok && reads(found.entry.value)) return true;
  if (found.outcome != Outcome::ok && found.outcome != Outcome::absent) return false;
  kv::Transaction announcement;
  announcement.preconditions = {{member_key(own_), found.entry.revision}};
  announcement.writes.push_back({member_key(own_), encode_member(kRecordFormat), std::nullopt});
  return state_.commit(announcement).outcome == Outcome::ok;
}

std::optional<bool> Members::look() {
  if (all_upgraded_) return true;
  std::vector<kv::Entry> entries;
  for (;;) {
    kv::ListResult page = state_.list("member/", entries.empty() ? "" : entries.back().key);
    if (page.outcome != Outcome::ok) return std::nullopt;
    const bool more = page.more && !page.entries.empty();
    for (auto& entry : page.entries) entries.push_back(std::move(entry));
    if (!more) break;
  }
  if (!all_read(nodes_, entries)) return false;
  if (!all_upgraded_.exchange(true))
    spdlog::info("all nodes read records of form {}", kRecordFormat);
  return true;
}

void Members::run() {
  bool announced = false;
  for (;;) {
    announced = announced || announce();
    if (announced && look() == true) return;
    std::this_thread::sleep_for(kv::jittered(kLookEvery_s));
  }
}

}  // namespace reachramp::peers
