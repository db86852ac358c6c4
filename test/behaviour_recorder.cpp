#include "behaviour_recorder.h"

#include <vector>

#include "cloud/client.h"
#include "kv/client.h"

namespace reachramp::test {

using controller::CloudRequest;
using controller::Effects;
using wire::Json;

void Digest::add(const void* bytes, std::size_t size) {
  constexpr std::uint64_t kPrime = 0x100000001b3;
  const auto* at = static_cast<const unsigned char*>(bytes);
  for (std::size_t i = 0; i < size; ++i) value_ = (value_ ^ at[i]) * kPrime;
}

void BehaviourRecorder::record(Kind kind, double now, const Json& values) {
  ++counts_[kind];
  // MessagePack keeps doubles exactly and tells where one value ends.
  const std::vector<std::uint8_t> bytes =
      Json::to_msgpack(Json::array({static_cast<unsigned>(kind), now, values}));
  digest_.add(bytes.data(), bytes.size());
}

void BehaviourRecorder::record_outbox(double now, std::uint64_t token, const Effects& outbox) {
  if (outbox.transaction) {
    record(kTransaction, now, {token, kv::encode_transaction(outbox.transaction->transaction)});
  }
  for (const CloudRequest& order : outbox.cloud_requests) {
    const bool rents = order.kind == CloudRequest::Kind::scale_out;
    const Json body =
        rents ? cloud::encode_scale_out(order.scale_out) : Json(order.scale_in_machines);
    record(kCloudRequest, now, {token, rents, body, order.urgent});
  }
  if (outbox.verify_key) record(kReadBack, now, {token, *outbox.verify_key});
  for (const std::string& id : outbox.read_job_ends) record(kLookUp, now, {token, id});
  for (const std::string& address : outbox.probes) record(kGreeting, now, {token, address});
  for (const auto& [address, body] : outbox.urgent_stops) {
    record(kStopNow, now, {token, address, body});
  }
  if (!outbox.cancellation_poll_windows_s.empty())
    record(kAskTold, now, {token, Json(outbox.cancellation_poll_windows_s)});
  const std::vector<bool> flags = {outbox.step_down, outbox.relist_jobs, outbox.read_drains,
                                   outbox.read_claims, outbox.read_obsolete_records};
  if (flags != std::vector<bool>(flags.size())) record(kFlags, now, {token, Json(flags)});
}

void BehaviourRecorder::record_response(double now, std::uint64_t token,
                                        const workers::Heartbeat& report, const Json& body) {
  record(body.is_null() ? kNoResponse : kResponse, now,
         Json::array({token, report.host, report.incarnation, report.sequence_number, body}));
}

}  // namespace reachramp::test
