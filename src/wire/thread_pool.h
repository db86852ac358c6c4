// Threads that serve connections: one a connection, used again for the next. Made and ended with
// each connection, threads on their way out came on top of those at work, and a storm of
// connections met the limit of the process (found with 2,500 machines and a leader that died).
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace reachramp::wire {

class ThreadPool {
 public:
  using Work = std::function<void()>;

  explicit ThreadPool(std::chrono::milliseconds idle_timeout) : idle_timeout_(idle_timeout) {}
  // Waits until all work is done and all threads are gone.
  ~ThreadPool();
  ThreadPool(const ThreadPool&) = delete;

  // Never more threads than pieces of work at the same time. Throws std::system_error if there is
  // no thread to be had.
  void run(Work work);
  std::size_t thread_count() const;
  // Of these, those that wait for work.
  std::size_t idle_count() const;

 private:
  void run_thread();

  const std::chrono::milliseconds idle_timeout_;
  mutable std::mutex mutex_;
  std::condition_variable work_available_;
  std::condition_variable thread_ended_;
  std::deque<Work> queue_;
  std::size_t idle_count_ = 0;
  std::size_t thread_count_ = 0;
  bool stopping_ = false;
};

}  // namespace reachramp::wire
