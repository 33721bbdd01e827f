"""``python -m tidegrade``."""

from tidegrade import cli

if __name__ == '__main__':
    cli.main()
