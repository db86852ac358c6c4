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
  const auto* data = static_cast<const unsigned char*>(bytes);
  for (std::size_t i = 0; i < size; ++i) value_ = (value_ ^ data[i]) * kPrime;
}

void BehaviourRecorder::record(Kind kind, double now, const Json& values) {
  ++counts_[kind];
  // MessagePack preserves doubles exactly and marks where each value ends.
  const std::vector<std::uint8_t> bytes =
      Json::to_msgpack(Json::array({static_cast<unsigned>(kind), now, values}));
  digest_.add(bytes.data(), bytes.size());
}

void BehaviourRecorder::record_effects(double now, std::uint64_t fencing_token,
                                       const Effects& effects) {
  if (effects.transaction) {
    record(kTransaction, now,
           {fencing_token, kv::encode_transaction(effects.transaction->transaction)});
  }
  for (const CloudRequest& request : effects.cloud_requests) {
    const bool is_scale_out = request.kind == CloudRequest::Kind::scale_out;
    const Json body =
        is_scale_out ? cloud::encode_scale_out(request.scale_out) : Json(request.scale_in_machines);
    record(kCloudRequest, now, {fencing_token, is_scale_out, body, request.urgent});
  }
  if (effects.verify_key)
    record(kTransactionVerification, now, {fencing_token, *effects.verify_key});
  for (const std::string& id : effects.read_job_ends) record(kJobEndRead, now, {fencing_token, id});
  for (const std::string& address : effects.probes) record(kProbe, now, {fencing_token, address});
  for (const auto& [address, body] : effects.urgent_stops) {
    record(kUrgentStop, now, {fencing_token, address, body});
  }
  if (!effects.cancellation_poll_windows_s.empty())
    record(kCancellationPoll, now, {fencing_token, Json(effects.cancellation_poll_windows_s)});
  const std::vector<bool> flags = {effects.step_down, effects.relist_jobs, effects.read_drains,
                                   effects.read_claims, effects.read_obsolete_records};
  if (flags != std::vector<bool>(flags.size()))
    record(kEffectFlags, now, {fencing_token, Json(flags)});
}

void BehaviourRecorder::record_response(double now, std::uint64_t fencing_token,
                                        const workers::Heartbeat& heartbeat, const Json& body) {
  record(body.is_null() ? kNullResponse : kResponse, now,
         Json::array({fencing_token, heartbeat.host, heartbeat.incarnation,
                      heartbeat.sequence_number, body}));
}

}  // namespace reachramp::test
