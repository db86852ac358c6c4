#include "controller/strong_reader.h"

#include "controller/obsolete_records.h"
#include "controller/store_reads.h"

namespace reachramp::controller {

void StrongReader::run() {
  for (;;) {
    for (const StrongRead& wanted : reads_.take(std::chrono::hours(1))) {
      if (election_.status().fencing_token == wanted.fencing_token) read(wanted);
    }
  }
}

void StrongReader::read(const StrongRead& wanted) {
  const std::uint64_t fencing_token = wanted.fencing_token;
  switch (wanted.kind) {
    case StrongRead::Kind::job_end:
      events_.push(
          {fencing_token, JobEndRead{wanted.name, store_.get(jobs::end_key(wanted.name))}});
      return;
    case StrongRead::Kind::verify_key: {
      // In this order: while the leader's key is ours, nobody else can have written the former.
      kv::ReadResult found = store_.get(wanted.name);
      events_.push({fencing_token, TransactionVerified{std::move(found), store_.get(kLeaderKey)}});
      return;
    }
    case StrongRead::Kind::drains:
      return read_drains(fencing_token);
    case StrongRead::Kind::obsolete_records:
      return read_obsolete_records(fencing_token);
    case StrongRead::Kind::claims:
      return read_claims(fencing_token);
  }
}

void StrongReader::read_drains(std::uint64_t fencing_token) {
  DrainsRead drains;
  if (read_optional(store_, drains::kRulesKey, drains.entry)) {
    events_.push({fencing_token, std::move(drains)});
  }
}

void StrongReader::read_claims(std::uint64_t fencing_token) {
  if (auto claims = list_all(store_, schema::kClaims)) {
    events_.push({fencing_token, ClaimsRead{std::move(*claims)}});
  }
}

void StrongReader::read_obsolete_records(std::uint64_t fencing_token) {
  std::vector<kv::Entry> found;
  for (const std::string& prefix : obsolete_record_prefixes()) {
    auto entries = list_all(store_, prefix);
    if (!entries) return;
    for (kv::Entry& entry : *entries) {
      if (is_stale_at_any(entry.key, entry.value)) found.push_back(std::move(entry));
    }
  }
  events_.push({fencing_token, ObsoleteRecordsRead{std::move(found)}});
}

}  // namespace reachramp::controller
