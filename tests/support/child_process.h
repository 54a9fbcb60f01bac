#ifndef TESTS_SUPPORT_CHILD_PROCESS_H
#define TESTS_SUPPORT_CHILD_PROCESS_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace jacinthshift {

/** A child process of a test bench; it is killed when its object is destroyed. */
class ChildProcess
{
    pid_t m_pid = -1;
    int m_exitCode = -1;

public:
    ChildProcess() = default;
    ~ChildProcess() { signal(9), wait(); }
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Starts a program and appends its output to a file. Returns false if it could not start. */
    bool start(const std::vector<std::string> &command, const std::string &outputFile);
    void signal(int number) const;
    /** Returns whether the process has ended, and reads its exit code. True if never started. */
    bool hasEnded();
    /** Waits until the process has ended, and reads its exit code. */
    void wait();
    bool isRunning() { return m_pid > 0 && !hasEnded(); }
    /** Returns the exit status, or 128 plus the number of the signal that ended the process. */
    int exitCode() const { return m_exitCode; }
    pid_t pid() const { return m_pid; }
};

} // namespace jacinthshift

#endif // TESTS_SUPPORT_CHILD_PROCESS_H
