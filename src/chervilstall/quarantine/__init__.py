"""Parts of prompts that crash targets, and how they are kept away from them."""
