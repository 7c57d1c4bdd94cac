#include "worker_pool_p.h"

namespace vanillalift {

WorkerPool::WorkerPool(WorkerPoolDesc desc)
    : m_desc(desc)
{
}

WorkerPool::~WorkerPool() { stop(); }

void* WorkerPool::threadMain(void* pool)
{
    static_cast<WorkerPool*>(pool)->runTasks();
    return nullptr;
}

bool WorkerPool::startThread()
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, m_desc.stackBytes);
    pthread_t thread {};
    bool isStarted = pthread_create(&thread, &attributes, threadMain, this) == 0;
    pthread_attr_destroy(&attributes);
    if (isStarted) {
        m_threads.push_back(thread);
        // Counted as idle from the start, so that the next task does not count on the thread started for this one.
        ++m_idleThreads;
    }
    return isStarted;
}

bool WorkerPool::tryRun(std::function<void()> task)
{
    std::lock_guard lock(m_mutex);
    if (m_isStopping)
        return false;
    bool needsThread = m_tasks.size() >= m_idleThreads;
    if (needsThread && (m_threads.size() >= m_desc.maxThreads || !startThread())) {
        if (m_threads.empty() || m_tasks.size() >= m_idleThreads + m_desc.maxQueuedTasks)
            return false;
    }
    m_tasks.push_back(std::move(task));
    m_taskAvailable.notify_one();
    return true;
}

void WorkerPool::runTasks()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_taskAvailable.wait(lock, [&] { return m_isStopping || !m_tasks.empty(); });
        if (m_tasks.empty())
            return;
        auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        --m_idleThreads;
        lock.unlock();
        task();
        task = nullptr;
        lock.lock();
        ++m_idleThreads;
    }
}

void WorkerPool::stop()
{
    std::vector<pthread_t> threads;
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
        threads.swap(m_threads);
        m_taskAvailable.notify_all();
    }
    for (auto it : threads)
        pthread_join(it, nullptr);
}

size_t WorkerPool::startedThreads() const
{
    std::lock_guard lock(m_mutex);
    return m_threads.size();
}

} // namespace vanillalift
