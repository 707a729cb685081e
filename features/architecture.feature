Feature: Shape of the code

  Scenario: The core has no input or output
    Guards against a decision that depends on a socket, file, clock or
    random number.
    When the imports of the core are read
    Then the core imports only attrs, cattrs, its own modules and
      """
      __future__ collections.abc collections copy enum functools hashlib
      heapq itertools json math operator typing bisect
      """

  Scenario: Modules are imported, not names
    Guards against names whose origin a reader cannot see.
    When the imports of all packages are read
    Then every "from" import of the project names a module

  Scenario: Only the adapter knows the platform's names
    Guards against decisions that depend on one platform's wire.
    When the sources outside the adapter are read
    Then none of them contains a wire name of the platform

  Scenario: The adapter decides nothing
    Guards against state and decisions that hide in the translation.
    When the imports of the adapter are read
    Then the adapter imports only types and entry points of the core
