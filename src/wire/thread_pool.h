// A pool of threads, each of which is reused once its work is done. With a new thread for each
// connection, threads that were ending added to those at work, and a storm of connections reached
// the thread limit of the process (found with 2,500 machines and a leader that died).
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace reachramp::wire {

// Runs each piece of work on a thread at once, and starts a thread if none is idle. Any thread may
// call its functions.
class ThreadPool {
 public:
  using Work = std::function<void()>;

  // `idle_timeout`: after which an idle thread ends.
  explicit ThreadPool(std::chrono::milliseconds idle_timeout) : idle_timeout_(idle_timeout) {}
  // Waits until all work is done and all threads have ended.
  ~ThreadPool();
  ThreadPool(const ThreadPool&) = delete;

  // Runs `work` on a thread of the pool. There are never more threads than pieces of work at the
  // same time. Throws std::system_error if the system allows no further thread.
  void run(Work work);
  // All threads, idle ones included.
  std::size_t thread_count() const;
  // Threads that wait for work.
  std::size_t idle_count() const;

 private:
  // The body of each thread.
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
