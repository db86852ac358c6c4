#include "loopback/controller_processes.h"

#include <fmt/format.h>
#include <sys/wait.h>

#include <fstream>
#include <system_error>

#include "loopback/child_process.h"

namespace reachramp::lab {

namespace {

std::string toml_address(const wire::Address& address) {
  return fmt::format("\"{}:{}\"", address.host, address.port);
}

}  // namespace

std::string platform_toml(const settings::Platform& p) {
  std::string file = fmt::format(
      "node_name = \"{}\"\ndomain = \"{}\"\nserve_on = {}\ncluster_listen = {}\n", p.node_name,
      p.failure_domain, toml_address(p.serve_on), toml_address(p.cluster_listen));
  for (const settings::Member& member : p.members) {
    file += fmt::format("[[members]]\nnode_name = \"{}\"\ndomain = \"{}\"\naddr = {}\n",
                        member.name, member.failure_domain, toml_address(member.address));
  }
  file += fmt::format("[services]\ncloud = {}\nstate = {}\n", toml_address(p.cloud_address),
                      toml_address(p.store_address));
  for (const settings::Team& team : p.teams) {
    file += fmt::format(
        "[[facts.teams]]\nname = \"{}\"\ncpus = {}\ncpus_max = {}\ngpus = {}\ngpus_max = {}\n",
        team.name, team.guaranteed_cpus, team.max_cpus, team.guaranteed_gpus, team.max_gpus);
  }
  file += fmt::format(
      "[facts.workers]\nreport_s = {}\nlease_s = {}\ngang_wait_s = {}\ngang_peer_s = {}\n"
      "cancel_s = {}\n",
      p.worker_timings.report_interval_s, p.worker_timings.lease_s, p.worker_timings.gang_wait_s,
      p.worker_timings.gang_peer_s, p.worker_timings.cancel_s);
  file += fmt::format("[facts.state]\nrps = {}\nwrite_rps = {}\nvalue_kb = {}\ntxn_ops = {}\n",
                      p.store_limits.rps, p.store_limits.write_rps, p.store_limits.value_kb,
                      p.store_limits.txn_ops);
  file += fmt::format("[facts.cloud]\nrps = {}\nlist_lag_s = {}\n", p.cloud_limits.rps,
                      p.cloud_limits.list_lag_s);
  file += fmt::format("[facts.limits]\nram_mb = {}\nfd_limit = {}\n", p.ram_mb, p.fd_limit);
  return file;
}

ControllerProcesses::ControllerProcesses(std::string program, std::string folder,
                                         const std::vector<settings::Platform>& platforms)
    : program_(std::move(program)), folder_(std::move(folder)) {
  for (const settings::Platform& platform : platforms) {
    std::ofstream file(folder_ + "/" + platform.node_name + ".toml");
    file << platform_toml(platform);
    if (!file.flush()) throw std::system_error(errno, std::generic_category(), folder_);
    pids_[platform.node_name] = 0;
  }
}

ControllerProcesses::~ControllerProcesses() {
  for (const auto& [name, pid] : pids_) kill(name);
}

void ControllerProcesses::start(const std::string& name) {
  const std::string config = folder_ + "/" + name + ".toml";
  // A process group of its own keeps Ctrl-C from the child; this process handles it and kills the
  // child itself.
  pids_.at(name) = spawn({.program = program_,
                          .arguments = {"serve", "--config", config},
                          .log_file = folder_ + "/" + name + ".log",
                          .own_process_group = true});
}

void ControllerProcesses::kill(const std::string& name) {
  pid_t& pid = pids_.at(name);
  if (pid == 0) return;
  kill_and_wait(pid);
  pid = 0;
}

bool ControllerProcesses::is_running(const std::string& name) {
  pid_t& pid = pids_.at(name);
  if (pid != 0 && ::waitpid(pid, nullptr, WNOHANG) == pid) pid = 0;
  return pid != 0;
}

}  // namespace reachramp::lab
