Feature: Random sequences

  Scenario: Random work and faults break no invariant
    Guards against combinations of faults that no recorded trace has.
    When random sequences are run
    Then none of them breaks an invariant or leaves work undone

  Scenario: Damaged records cost only their own jobs
    Guards against one record of another version, or of a faulty one, that keeps
    a new owner from running the jobs beside it, and against a job that runs
    again because its progress cannot be read.
    When stored records are damaged with the seeds 1 to 60
    Then no handler fails, and all other jobs end
