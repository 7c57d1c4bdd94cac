#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

#include <pthread.h>

namespace vanillalift {

struct WorkerPoolDesc {
    size_t maxThreads = 8;
    /// Tasks that may wait while all threads are busy. None wait if no thread could be started.
    size_t maxQueuedTasks = 0;
    size_t stackBytes = 256U << 10U;
};

/// Threads with small stacks, started when they are first needed. Thread-safe.
class WorkerPool {
public:
    explicit WorkerPool(WorkerPoolDesc desc);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /// @returns false if all threads are busy and the queue is full.
    [[nodiscard]] bool tryRun(std::function<void()> task);
    /// Runs what is queued, then ends the threads.
    void stop();
    [[nodiscard]] size_t startedThreads() const;

private:
    static void* threadMain(void* pool);
    void runTasks();
    bool startThread();

    WorkerPoolDesc m_desc;
    mutable std::mutex m_mutex;
    std::condition_variable m_taskAvailable;
    std::deque<std::function<void()>> m_tasks;
    std::vector<pthread_t> m_threads;
    size_t m_idleThreads = 0;
    bool m_isStopping = false;
};

} // namespace vanillalift
