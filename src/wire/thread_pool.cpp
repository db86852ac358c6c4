#include "wire/thread_pool.h"

#include <thread>

namespace reachramp::wire {

ThreadPool::~ThreadPool() {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  work_available_.notify_all();
  thread_ended_.wait(lock, [&] { return thread_count_ == 0; });
}

void ThreadPool::run(Work work) {
  std::lock_guard lock(mutex_);
  queue_.push_back(std::move(work));
  if (idle_count_ >= queue_.size()) {
    work_available_.notify_one();
    return;
  }
  try {
    std::thread([this] { run_thread(); }).detach();
    ++thread_count_;
  } catch (...) {
    queue_.pop_back();
    throw;
  }
}

std::size_t ThreadPool::thread_count() const {
  std::lock_guard lock(mutex_);
  return thread_count_;
}

std::size_t ThreadPool::idle_count() const {
  std::lock_guard lock(mutex_);
  return idle_count_;
}

void ThreadPool::run_thread() {
  std::unique_lock lock(mutex_);
  for (;;) {
    ++idle_count_;
    const bool has_work =
        work_available_.wait_for(lock, idle_timeout_, [&] { return stopping_ || !queue_.empty(); });
    --idle_count_;
    if (!has_work || queue_.empty()) break;
    {
      const Work work = std::move(queue_.front());
      queue_.pop_front();
      lock.unlock();
      work();
    }
    lock.lock();
  }
  --thread_count_;
  thread_ended_.notify_all();
}

}  // namespace reachramp::wire
