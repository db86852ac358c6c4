#include "behaviour_recorder.h"

#include <vector>

#include "cloud/client.h"
#include "state/client.h"

namespace reachramp::test {

using controller::CloudOrder;
using controller::Outbox;
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

void BehaviourRecorder::record_outbox(double now, std::uint64_t token, const Outbox& outbox) {
  if (outbox.commit) {
    record(kTransaction, now, {token, state::encode_transaction(outbox.commit->transaction)});
  }
  for (const CloudOrder& order : outbox.cloud) {
    const bool rents = order.kind == CloudOrder::Kind::hire;
    const Json body = rents ? cloud::encode_hire(order.hire) : Json(order.machines);
    record(kCloudRequest, now, {token, rents, body, order.urgent});
  }
  if (outbox.read_back) record(kReadBack, now, {token, *outbox.read_back});
  for (const std::string& id : outbox.look_up) record(kLookUp, now, {token, id});
  for (const std::string& address : outbox.greet) record(kGreeting, now, {token, address});
  for (const auto& [address, body] : outbox.stop_now) {
    record(kStopNow, now, {token, address, body});
  }
  if (!outbox.ask_told.empty()) record(kAskTold, now, {token, Json(outbox.ask_told)});
  const std::vector<bool> flags = {outbox.resign, outbox.read_jobs, outbox.read_drains,
                                   outbox.read_claims, outbox.read_stale};
  if (flags != std::vector<bool>(flags.size())) record(kFlags, now, {token, Json(flags)});
}

void BehaviourRecorder::record_response(double now, std::uint64_t token,
                                        const workers::Report& report, const Json& body) {
  record(body.is_null() ? kNoResponse : kResponse, now,
         Json::array({token, report.host, report.tenure, report.tick, body}));
}

}  // namespace reachramp::test
