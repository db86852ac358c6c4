// Measures how fast the emulated key-value store answers over loopback, to know when the emulator
// itself limits a run: reads and writes by 1 to 16 clients at once, with one connection each.
#include <benchmark/benchmark.h>
#include <spdlog/spdlog.h>

#include "loopback/state_server.h"

namespace reachramp::bench {
namespace {

constexpr std::uint16_t kPort = 18399;
constexpr auto kCallTimeout = std::chrono::milliseconds(2000);

lab::StateServer& server() {
  static lab::StateServer made({1e9, 1e9, 8, 8}, 1);
  static const bool open = (made.listen_for_node("node", kPort), true);
  benchmark::DoNotOptimize(open);
  return made;
}

void read(benchmark::State& state) {
  server().with_model([](lab::StateService& model) {
    model.commit({{}, {{"job/j-1", wire::Json{{"a", std::string(300, 'x')}}, std::nullopt}}});
  });
  wire::Client client({"127.0.0.1", kPort}, 1, wire::kMaxBody_bytes);
  for (auto _ : state) {
    if (client.call("GET", "/keys/job/j-1", nullptr, kCallTimeout).status != 200) {
      state.SkipWithError("no answer");
    }
  }
  state.SetItemsProcessed(state.iterations());
}

void write(benchmark::State& state) {
  server();
  wire::Client client({"127.0.0.1", kPort}, 1, wire::kMaxBody_bytes);
  const std::string key = "k/" + std::to_string(state.thread_index());
  for (auto _ : state) {
    const wire::Json body{{"then", {{{"write", key}, {"value", {{"a", std::string(300, 'x')}}}}}}};
    if (client.call("POST", "/multi", &body, kCallTimeout).status != 200) {
      state.SkipWithError("no answer");
    }
  }
  state.SetItemsProcessed(state.iterations());
}

BENCHMARK(read)->ThreadRange(1, 16)->UseRealTime();
BENCHMARK(write)->ThreadRange(1, 16)->UseRealTime();

}  // namespace
}  // namespace reachramp::bench

int main(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  benchmark::Initialize(&argc, argv);
  if (benchmark::ReportUnrecognizedArguments(argc, argv)) return 1;
  benchmark::RunSpecifiedBenchmarks();
}
