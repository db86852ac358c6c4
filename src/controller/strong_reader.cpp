#include "controller/strong_reader.h"

#include "controller/obsolete_records.h"
#include "controller/store_reads.h"

namespace reachramp::controller {

void StrongReader::run() {
  for (;;) {
    for (const StrongReadRequest& request : requests_.take(std::chrono::hours(1))) {
      if (election_.status().fencing_token == request.fencing_token) read(request);
    }
  }
}

void StrongReader::read(const StrongReadRequest& request) {
  const std::uint64_t fencing_token = request.fencing_token;
  switch (request.kind) {
    case StrongReadRequest::Kind::job_end:
      events_.push({fencing_token,
                    JobEndRead{request.job_or_key, store_.get(jobs::end_key(request.job_or_key))}});
      return;
    case StrongReadRequest::Kind::verify_key: {
      // The order matters: if the leader's key still has our token afterwards, no other leader can
      // have written the first key before it was read.
      kv::ReadResult found = store_.get(request.job_or_key);
      events_.push({fencing_token, TransactionVerified{std::move(found), store_.get(kLeaderKey)}});
      return;
    }
    case StrongReadRequest::Kind::drains:
      return read_drains(fencing_token);
    case StrongReadRequest::Kind::obsolete_records:
      return read_obsolete_records(fencing_token);
    case StrongReadRequest::Kind::claims:
      return read_claims(fencing_token);
  }
}

void StrongReader::read_drains(std::uint64_t fencing_token) {
  DrainsRead drains;
  if (read_optional(store_, drains::kPolicyKey, drains.entry)) {
    events_.push({fencing_token, std::move(drains)});
  }
}

void StrongReader::read_claims(std::uint64_t fencing_token) {
  if (auto claims = list_all(store_, schema::kClaimPrefix)) {
    events_.push({fencing_token, ClaimsRead{std::move(*claims)}});
  }
}

void StrongReader::read_obsolete_records(std::uint64_t fencing_token) {
  std::vector<kv::Entry> found;
  for (const std::string& prefix : obsolete_record_prefixes()) {
    auto entries = list_all(store_, prefix);
    if (!entries) return;
    for (kv::Entry& entry : *entries) {
      if (is_obsolete_at_any_level(entry.key, entry.value)) found.push_back(std::move(entry));
    }
  }
  events_.push({fencing_token, ObsoleteRecordsRead{std::move(found)}});
}

}  // namespace reachramp::controller
