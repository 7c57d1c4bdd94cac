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
    /// Maximum number of tasks queued while all threads are busy. If no thread could be started, no task is queued.
    size_t maxQueuedTasks = 0;
    size_t stackBytes = 256U << 10U;
};

/// Thread pool whose threads have small stacks and are started on demand. Thread-safe.
class WorkerPool {
public:
    explicit WorkerPool(WorkerPoolDesc desc);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /// @returns false if all threads are busy and the queue is full, or if the pool is stopping.
    [[nodiscard]] bool tryRun(std::function<void()> task);
    /// Runs the queued tasks and joins the threads. Further tasks are rejected.
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
